"""Service `layout`: the partition count, which operators may change.

Work stays in the partition that accepted it, so each former partition count is kept
until no work remains that was assigned by it. Texts for operators call these counts
former numbers.
"""

from __future__ import annotations

import dataclasses
import uuid
from collections.abc import Callable, Mapping

import gevent
import logbook
import msgspec

from toucanspring import errors, job, kernel, settings, shared_read, uptime
from toucanspring.adapters import tables

log = logbook.Logger(__name__)

ROW = "layout"
# Each former partition count may cost one more lookup for each new ID.
MAX_FORMER = 3
CHANGE_TIMEOUT_S = 5.0
# Each lookup of an unknown ID needs a read. 20 reads a second leave the store enough
# capacity even if all of 16 processes of a region receive such lookups continuously.
READ_INTERVAL_S = 0.05
RETRY_S = 0.1


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """Row `layout`; `current` and `former` are partition counts.

    Work may still be placed by a former count. `change` identifies the last change of
    `current`, so that a lost response can be resolved by reading the row.
    """

    generation: int = 0
    current: int = 1
    former: tuple[int, ...] = ()
    change: str = ""
    operator: str = ""

    @property
    def count(self) -> int:
        """Return the number of partitions that need an owner."""
        return max(self.current, *self.former, 1)

    def partition_of(self, name: str) -> int:
        """Return the partition that accepts new work with a job or request ID."""
        return job.partition_of(name, self.current)

    def possible_partitions(self, name: str) -> list[int]:
        """Return the partitions that may hold an ID, the accepting one first."""
        counts = (self.current, *self.former)
        return list(dict.fromkeys(job.partition_of(name, each) for each in counts))


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedLayout:
    """Layout with the version of its row, which transactions check."""

    layout: Layout
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LayoutChanged:
    """Event: the layout has changed."""

    layout: Layout


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Layout)


def with_partition_count(
    present: Layout, count: int, change: str, operator: str
) -> Layout | errors.Refused:
    """Return the layout after a change of the partition count."""
    former = {*present.former, present.current} - {count}
    if len(former) > MAX_FORMER:
        return errors.Refused(
            reason=f"work of the former numbers {sorted(present.former)} has not ended"
        )
    return Layout(
        generation=present.generation + 1,
        current=count,
        former=tuple(sorted(former)),
        change=change,
        operator=operator,
    )


def without_former(present: Layout, ended: set[int]) -> Layout:
    """Return the layout without the former partition counts in `ended`."""
    return msgspec.structs.replace(
        present,
        generation=present.generation + 1,
        former=tuple(each for each in present.former if each not in ended),
    )


class Service:
    """Poll and change the row `layout` (kernel name `layout`)."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = uptime.now,
    ) -> None:
        self._kernel = core
        self._clock = clock
        self._shared = shared_read.SharedRead(self._read, READ_INTERVAL_S)
        self._resizable = getattr(options, "moves", "on") == "on"
        # The setting applies until the row exists.
        self.view = VersionedLayout(Layout(current=options.partitions), 0)

    def start(self) -> None:
        """Read the row with the polls of `membership`."""
        self._kernel.find("membership").watch(lambda: [ROW], self._handle_rows)

    def stop(self) -> None:
        """Do nothing; `membership` stops the polls."""

    @property
    def layout(self) -> Layout:
        """Return the layout as last read."""
        return self.view.layout

    def reread(self) -> None | errors.Failure:
        """Read the row; on success all changes made before the call are applied."""
        return self._shared.get()

    def _read(self) -> None | errors.Failure:
        rows = self._tables.read([ROW])
        if isinstance(rows, errors.Failure):
            return rows
        self.apply_row(rows[ROW])
        return None

    def apply_row(self, row: tables.Row) -> None:
        """Apply a row unless the same or a later version is known."""
        if row.version <= self.view.version:
            return
        try:
            found = _decoder.decode(row.value)
        except msgspec.MsgspecError as error:
            log.error("row {} is malformed: {}", ROW, error)
            return
        self.view = VersionedLayout(found, row.version)
        log.info(
            "{} partitions, former numbers {} (generation {})",
            found.current,
            list(found.former),
            found.generation,
        )
        self._kernel.publish(LayoutChanged(found))

    def change(
        self, number: int, expected: int, operator: str
    ) -> Layout | errors.Failure:
        """Set the partition count, based on generation `expected`.

        Fails with `Conflict` if another change came first, and with `Ambiguous` if a
        response was lost and the row could not be read in time.
        """
        if not self._resizable:
            return errors.Refused(
                reason="the partition count is fixed unless the setting moves is on"
            )
        change_id = uuid.uuid4().hex
        return self._write(
            lambda present: (
                present
                if number == present.current and present.generation == expected
                else with_partition_count(present, number, change_id, operator)
            ),
            expected,
            change_id,
        )

    def remove_former(
        self, ended: set[int], expected: int, checks: Mapping[str, int]
    ) -> None | errors.Failure:
        """Remove former partition counts without work, based on generation `expected`.

        A lost response needs no handling, since the next attempt reads the row again.
        """
        view = self.view
        if view.layout.generation != expected:
            return errors.Conflict(reason="the partition count was changed")
        value = _encode(without_former(view.layout, ended))
        answer = self._tables.transact({**checks, ROW: view.version}, {ROW: value}, ())
        if isinstance(answer, tables.Committed):
            self.apply_row(tables.Row(answer.versions[ROW], value))
            return None
        return answer

    # Changes

    @property
    def _tables(self) -> tables.TableClient:
        return self._kernel.find("store").tables

    def _handle_rows(self, rows: Mapping[str, tables.Row], _sent_at: float) -> None:
        self.apply_row(rows[ROW])

    def _write(
        self,
        plan: Callable[[Layout], Layout | errors.Failure],
        expected: int,
        change_id: str,
    ) -> Layout | errors.Failure:
        """Write the planned layout; retry until the outcome is certain.

        Each attempt checks the version that was read, so no earlier attempt can take
        effect after a later one or after any other change.
        """
        deadline = self._clock() + CHANGE_TIMEOUT_S
        lost: errors.Ambiguous | None = None
        while True:
            result = self._attempt(plan, expected, change_id)
            match result:
                case errors.Ambiguous():
                    lost = result
                case errors.Unavailable() if lost is not None:
                    pass
                case errors.Conflict(key="layout"):
                    pass  # the next attempt reads the other change
                case _:
                    return result
            if self._clock() + RETRY_S > deadline:
                return lost or result
            gevent.sleep(RETRY_S)

    def _attempt(
        self,
        plan: Callable[[Layout], Layout | errors.Failure],
        expected: int,
        change_id: str,
    ) -> Layout | errors.Failure:
        failure = self.reread()
        if failure is not None:
            # A failed read has no effect, so the outcome is not ambiguous.
            return errors.StoreUnavailable(reason=f"store: {failure.reason}")
        present, version = self.view.layout, self.view.version
        if present.change == change_id:
            return present  # an earlier attempt whose response was lost
        if present.generation != expected:
            return errors.Conflict(
                reason="the partition count was changed in the meantime",
                current_version=present.generation,
                given_version=expected,
            )
        planned = plan(present)
        if isinstance(planned, errors.Failure) or planned is present:
            return planned
        value = _encode(planned)
        answer = self._tables.transact({ROW: version}, {ROW: value}, ())
        if isinstance(answer, tables.Committed):
            self.apply_row(tables.Row(answer.versions[ROW], value))
            return planned
        return answer
