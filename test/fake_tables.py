"""In-memory table service with faults, and processes that use it."""

import gevent

from toucanspring import errors, kernel
from toucanspring import settings as settings_module
from toucanspring.adapters import tables
from toucanspring.cell import claims, layout, membership, peers
from toucanspring.configuration import documents


class FakeTables:
    """Rows that several clients share; each client can fail on its own."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    def client(self):
        return FakeClient(self)


class FakeClient:
    """Stand in for TableClient.

    Three maps give, for a key, how many of the next transactions that write it fail:
    `lose` loses the response, `drop` loses the request, and `late` delays the effect
    until `deliver_late`. `before_commit` runs once between a call and its effect.
    """

    def __init__(self, shared):
        self.shared = shared
        self.down = False
        self.delay_s = 0.0
        self.lose = {}
        self.drop = {}
        self.late = {}
        self.kept_back = []
        self.before_commit = None
        self.stale_rows = {}

    def transact(self, checks, writes, deletes=()):
        if self.down:
            return errors.Unavailable(reason="down")
        gevent.sleep(self.delay_s)
        if self.before_commit is not None:
            action, self.before_commit = self.before_commit, None
            action()
        if self._take(self.late, writes):
            self.kept_back.append((checks, writes, deletes))
            return errors.Ambiguous(reason="answer lost, effect delayed")
        if self._take(self.drop, writes):
            return errors.Ambiguous(reason="request lost")
        result = self._commit(checks, writes, deletes)
        if self._take(self.lose, writes):
            return errors.Ambiguous(reason="answer lost")
        return result

    def deliver_late(self):
        return [self._commit(*kept) for kept in self.kept_back]

    def read(self, keys):
        if self.down:
            return errors.Unavailable(reason="down")
        gevent.sleep(self.delay_s)
        absent = tables.Row(0, b"")
        rows = {key: self.shared.rows.get(key, absent) for key in keys}
        return {**rows, **{k: v for k, v in self.stale_rows.items() if k in rows}}

    def scan(self, prefix, after="", limit=500):
        if self.down:
            return errors.Unavailable(reason="down")
        found = sorted(
            key for key in self.shared.rows if key.startswith(prefix) and key > after
        )
        return [
            tables.KeyedRow(key, self.shared.rows[key].version, rows.value)
            for key in found[:limit]
            for rows in [self.shared.rows[key]]
        ]

    def close(self):
        pass

    def _commit(self, checks, writes, deletes):
        for key, version in checks.items():
            current = self.shared.rows.get(key, tables.Row(0, b"")).version
            if current != version:
                return errors.Conflict(
                    key=key, current_version=current, given_version=version
                )
        for key, value in writes.items():
            self.shared.version += 1
            self.shared.rows[key] = tables.Row(self.shared.version, value)
        for key in deletes:
            self.shared.rows.pop(key, None)
        return tables.Committed({key: self.shared.rows[key].version for key in writes})

    @staticmethod
    def _take(counts, writes):
        for key in writes:
            if counts.get(key, 0) > 0:
                counts[key] -= 1
                return True
        return False


class FakeStore:
    def __init__(self, client):
        self.tables = client

    def start(self):
        pass

    def stop(self):
        pass


def settings_of(process, **values):
    return settings_module.Settings(
        process=process, peer_port=0, peer_token="token", **values
    )


def parse(source):
    """Stand in for reader.parse: return the text as the cell; `bad` is invalid."""
    return errors.Invalid(reason="bad", line=1) if "bad" in source else source


class Process:
    """Run the control services of one process over a fake client."""

    def __init__(self, name, client, start=True, **values):
        self.client = client
        self.settings = settings_of(name, **values)
        self.kernel = kernel.Kernel()
        self.peers = peers.Service(self.kernel, self.settings)
        self.membership = membership.Service(self.kernel, self.settings)
        self.layout = layout.Service(self.kernel, self.settings)
        self.documents = documents.Service(self.kernel, self.settings, parse)
        self.claims = claims.Service(self.kernel, self.settings)
        self.kernel.register("store", FakeStore(client))
        for service in ("peers", "membership", "layout", "documents", "claims"):
            self.kernel.register(service, getattr(self, service))
        if start:
            self.kernel.start()

    def kill(self):
        """Stop without releasing anything, like a crash."""
        self.membership._greenlets.kill()
        self.documents.stop()
        self.peers.stop()
        self.kernel._started.clear()


def wait_for(condition, limit_s=6.0):
    """Return whether a condition becomes true within the limit."""
    with gevent.Timeout(limit_s, False):
        while not condition():
            gevent.sleep(0.01)
        return True
    return False
