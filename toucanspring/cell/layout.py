"""Service `layout`: the number of partitions, which operators may change.

Work stays in the partition that accepted it, so former numbers are kept as long as
one of them may still lead to work.
"""

from __future__ import annotations

import dataclasses
import time
import uuid
from collections.abc import Callable, Mapping

import gevent
import logbook
import msgspec

from toucanspring import errors, job, kernel, settings, shared_read
from toucanspring.adapters import tables

log = logbook.Logger(__name__)

ROW = "layout"
# Each former number may cost one question for each new ID.
MAX_FORMER = 3
CHANGE_TIMEOUT_S = 5.0
# Each look-up of an unknown ID needs a read. 20 reads a second leave the store to the
# others even if all of 16 processes of a region get such look-ups without end.
READ_INTERVAL_S = 0.05
RETRY_S = 0.1


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """Row `layout`; `former` are numbers of partitions that may still hold work.

    `change` identifies the last change of `current`, so that a lost answer can be
    settled by reading the row.
    """

    generation: int = 0
    current: int = 1
    former: tuple[int, ...] = ()
    change: str = ""
    operator: str = ""

    @property
    def count(self) -> int:
        """Return how many partitions need an owner."""
        return max(self.current, *self.former, 1)

    def partition_of(self, name: str) -> int:
        """Return the partition that accepts a job or request ID."""
        return job.partition_of(name, self.current)

    def possible_partitions(self, name: str) -> list[int]:
        """Return the partitions that may hold an ID, the accepting one first."""
        counts = (self.current, *self.former)
        return list(dict.fromkeys(job.partition_of(name, each) for each in counts))


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedLayout:
    """Pair a layout with the version of its row, which transactions check."""

    layout: Layout
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LayoutChanged:
    """The number of partitions or the former numbers have changed."""

    layout: Layout


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Layout)


def with_partition_count(
    present: Layout, number: int, change: str, operator: str
) -> Layout | errors.Refused:
    """Return the layout after a change of the number of partitions."""
    former = {*present.former, present.current} - {number}
    if len(former) > MAX_FORMER:
        return errors.Refused(
            reason=f"work of the former numbers {sorted(present.former)} has not ended"
        )
    return Layout(
        generation=present.generation + 1,
        current=number,
        former=tuple(sorted(former)),
        change=change,
        operator=operator,
    )


def without_former(present: Layout, ended: set[int]) -> Layout:
    """Return the layout without former numbers that hold no work any more."""
    return msgspec.structs.replace(
        present,
        generation=present.generation + 1,
        former=tuple(each for each in present.former if each not in ended),
    )


class Service:
    """Follow the row `layout` and change it (kernel name `layout`)."""

    def __init__(
        self,
        core: kernel.Kernel,
        options: settings.Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._kernel = core
        self._clock = clock
        self._shared = shared_read.SharedRead(self._read, READ_INTERVAL_S)
        self._resizable = getattr(options, "moves", "on") == "on"
        # Applies until the row exists.
        self.view = VersionedLayout(Layout(current=options.partitions), 0)

    def start(self) -> None:
        """Follow the row with the shared poll."""
        self._kernel.find("membership").watch(lambda: [ROW], self._handle_rows)

    def stop(self) -> None:
        """Do nothing; the poll belongs to `membership`."""

    @property
    def layout(self) -> Layout:
        """Return the layout as last read."""
        return self.view.layout

    def reread(self) -> None | errors.Failure:
        """Read the row; a success shows all changes made before the call."""
        return self._shared.get()

    def _read(self) -> None | errors.Failure:
        rows = self._tables.read([ROW])
        if isinstance(rows, errors.Failure):
            return rows
        self.apply_row(rows[ROW])
        return None

    def apply_row(self, row: tables.Row) -> None:
        """Take in a row unless a later version is known."""
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
        """Set the number of partitions, based on generation `expected`.

        Fails with `Conflict` if another change came first, and with `Ambiguous` if an
        answer was lost and the row could not be read in time.
        """
        if not self._resizable:
            return errors.Refused(reason="needs the setting moves to be on")
        name = uuid.uuid4().hex
        return self._write(
            lambda present: (
                present
                if number == present.current and present.generation == expected
                else with_partition_count(present, number, name, operator)
            ),
            expected,
            name,
        )

    def remove_former(
        self, ended: set[int], expected: int, checks: Mapping[str, int]
    ) -> None | errors.Failure:
        """Remove former numbers that hold no work, if nothing was changed since.

        A lost answer needs no care: the next try finds the row as it is.
        """
        view = self.view
        if view.layout.generation != expected:
            return errors.Conflict(reason="the number of partitions was changed")
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
        name: str,
    ) -> Layout | errors.Failure:
        """Write the planned layout; repeat until its effect is certain.

        Each attempt checks the version that was read, so no earlier attempt can take
        effect after a later one, or after any other change.
        """
        deadline = self._clock() + CHANGE_TIMEOUT_S
        lost: errors.Ambiguous | None = None
        while True:
            result = self._attempt(plan, expected, name)
            match result:
                case errors.Ambiguous():
                    lost = result
                case errors.Unavailable() if lost is not None:
                    pass
                case errors.Conflict(key="layout"):
                    pass  # the next attempt sees what came first
                case _:
                    return result
            if self._clock() + RETRY_S > deadline:
                return lost or result
            gevent.sleep(RETRY_S)

    def _attempt(
        self,
        plan: Callable[[Layout], Layout | errors.Failure],
        expected: int,
        name: str,
    ) -> Layout | errors.Failure:
        failure = self.reread()
        if failure is not None:
            # A read has no effect, whether or not it was answered.
            return errors.StoreUnavailable(reason=f"store: {failure.reason}")
        present, version = self.view.layout, self.view.version
        if present.change == name:
            return present  # an earlier attempt whose answer was lost
        if present.generation != expected:
            return errors.Conflict(
                reason="the number of partitions was changed meanwhile",
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
