"""Kernel service for the platform's tables, objects and VM list."""

from __future__ import annotations

import collections
from collections.abc import Callable

import gevent

from toucanspring import errors, uptime
from toucanspring.adapters import exchange, objects, tables, vms

RATE_WINDOW_S = 10
RESOLVE_TIMEOUT_S = 10.0
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 1.0


class OperationRate:
    """Count operations by kind and second of a monotonic clock."""

    def __init__(self, clock: Callable[[], float] = uptime.now) -> None:
        self._clock = clock
        self._seconds: collections.deque[tuple[int, collections.Counter]] = (
            collections.deque(maxlen=RATE_WINDOW_S + 1)
        )
        self.totals: collections.Counter[str] = collections.Counter()

    def add(self, kind: str) -> None:
        """Count one operation now."""
        second = int(self._clock())
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, collections.Counter()))
        self._seconds[-1][1][kind] += 1
        self.totals[kind] += 1

    def per_second(self) -> dict[str, float]:
        """Return the mean rate by kind over the last complete seconds."""
        now = int(self._clock())
        counts: collections.Counter[str] = collections.Counter()
        for second, counter in self._seconds:
            if now - RATE_WINDOW_S <= second < now:
                counts.update(counter)
        return {kind: count / RATE_WINDOW_S for kind, count in counts.items()}


class CountingTables:
    """Count `write`, `read` and `scan` operations on a table client."""

    def __init__(self, inner: tables.TableClient, rate: OperationRate) -> None:
        self._inner = inner
        self._rate = rate

    def transact(
        self,
        checks: dict[str, int],
        writes: dict[str, bytes],
        deletes: tuple[str, ...] | list[str] = (),
    ) -> tables.Committed | errors.Failure:
        """Apply a transaction."""
        self._rate.add("write")
        return self._inner.transact(checks, writes, deletes)

    def read(self, keys: list[str]) -> dict[str, tables.Row] | errors.Failure:
        """Return the rows of all keys."""
        self._rate.add("read")
        return self._inner.read(keys)

    def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[tables.KeyedRow] | errors.Failure:
        """Return rows with the prefix."""
        self._rate.add("scan")
        return self._inner.scan(prefix, after, limit)

    def close(self) -> None:
        """Close idle connections."""
        self._inner.close()


class CountingObjects:
    """Count `object` operations on an object client."""

    def __init__(self, inner: objects.ObjectClient, rate: OperationRate) -> None:
        self._inner = inner
        self._rate = rate

    def put(self, key: str, content: bytes) -> None | errors.Failure:
        """Store an object."""
        self._rate.add("object")
        return self._inner.put(key, content)

    def get(self, key: str) -> bytes | errors.Failure:
        """Return an object."""
        self._rate.add("object")
        return self._inner.get(key)

    def delete(self, key: str) -> None | errors.Failure:
        """Remove an object."""
        self._rate.add("object")
        return self._inner.delete(key)

    def close(self) -> None:
        """Close idle connections."""
        self._inner.close()


class Store:
    """Own the clients of the platform's services."""

    def __init__(
        self,
        table_client: tables.TableClient,
        object_client: objects.ObjectClient,
        vm_client: vms.VmClient,
    ) -> None:
        self.rate = OperationRate()
        self.tables: tables.TableClient = CountingTables(table_client, self.rate)
        self.objects: objects.ObjectClient = CountingObjects(object_client, self.rate)
        self.vms = vm_client

    def start(self) -> None:
        """Do nothing; connections open on first use."""

    def stop(self) -> None:
        """Close idle connections."""
        self.tables.close()
        self.objects.close()
        self.vms.close()


def connect(
    table_address: str, object_address: str, vm_address: str, client: str
) -> Store | errors.Invalid:
    """Build the store from addresses `address:port`; `client` names this process."""
    addresses = [
        exchange.parse_address(text)
        for text in (table_address, object_address, vm_address)
    ]
    for address in addresses:
        if isinstance(address, errors.Invalid):
            return address
    return Store(
        tables.HttpTableClient(*addresses[0], client=client),
        objects.HttpObjectClient(*addresses[1], client=client),
        vms.HttpVmClient(*addresses[2], client=client),
    )


def transact_resolved(
    client: tables.TableClient,
    checks: dict[str, int],
    writes: dict[str, bytes],
    deletes: tuple[str, ...] | list[str] = (),
    timeout_s: float = RESOLVE_TIMEOUT_S,
) -> tables.Committed | errors.Failure:
    """Apply a transaction once; read its rows again after a lost answer.

    At least one written or deleted row must be checked: its version changes with
    the first application, so a late or repeated one conflicts. Values must be
    unique to this transaction (a batch ID or a counter) to be recognised. Returns
    `Ambiguous` only if the rows cannot be read in time, or were changed again by
    others so that their values no longer show the effect.
    """
    guard = {key: checks[key] for key in writes if key in checks}
    guard |= {key: checks[key] for key in deletes if checks.get(key)}
    if not guard:
        raise ValueError("no written row is checked, so a retry could apply twice")
    deadline = uptime.now() + timeout_s
    delay_s = RETRY_FIRST_S
    ambiguous: errors.Ambiguous | None = None
    while True:
        result = client.transact(checks, writes, deletes)
        if isinstance(result, errors.Ambiguous):
            ambiguous = result
        elif ambiguous is None or isinstance(result, tables.Committed):
            return result
        if ambiguous is not None:
            effect = _read_effect(client, guard, writes, deletes)
            if isinstance(effect, tables.Committed):
                return effect
            if isinstance(effect, errors.Ambiguous):
                return effect
            # The guard rows are unchanged. The conflict on another checked row also
            # rejects the earlier attempt if that is still in flight.
            if effect is None and isinstance(result, errors.Conflict):
                return result
        if uptime.now() + delay_s > deadline:
            return ambiguous
        gevent.sleep(delay_s)
        delay_s = min(2 * delay_s, RETRY_MAX_S)


def _read_effect(
    client: tables.TableClient,
    guard: dict[str, int],
    writes: dict[str, bytes],
    deletes: tuple[str, ...] | list[str],
) -> tables.Committed | errors.Failure | None:
    """Read the rows again and return the effect of the transaction.

    That is `Committed` if it was applied, `None` if not, `Ambiguous` if the rows have
    changed again, and `Unavailable` if they cannot be read.
    """
    rows = client.read([*writes, *deletes])
    if isinstance(rows, errors.Failure):
        return errors.Unavailable(reason=rows.reason)
    if all(rows[key].version == version for key, version in guard.items()):
        return None
    if all(rows[key].value == value for key, value in writes.items()) and all(
        rows[key].version == 0 for key in deletes
    ):
        return tables.Committed({key: rows[key].version for key in writes})
    return errors.Ambiguous(
        reason="the answer was lost and the rows have changed again since"
    )
