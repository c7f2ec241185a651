"""Faults of processes, connections, the store, workers and operators."""

from __future__ import annotations

import dataclasses
import enum
import random
import signal
from collections.abc import Callable

import gevent

from soak import blackouts, cell, proxy
from toucanspring.coordinator import rows

MEAN_PAUSE_S = 1.2  # between the starts of two faults, which may overlap
SHORTEST_S, LONGEST_S = 0.2, 4.0
DELAY_S = 1.0  # delayed calls are executed after this time
# The second series of faults, which overlaps the first.
SECOND_MEAN_PAUSE_S = 2.0
SLOW_KB_PER_S_RANGE = (15.0, 250.0)
SLOW_FACTOR = 2.5  # a slow link lasts this much longer than other faults
MOMENT_S = 0.4  # after which a worker spoiled by another writer writes its entry
MAX_ODD_ENTRIES = 5


@dataclasses.dataclass(frozen=True)
class End:
    """End processes with a signal."""

    names: tuple[str, ...]
    number: int


@dataclasses.dataclass(frozen=True)
class Pause:
    """Pause a process and resume it."""

    name: str


@dataclasses.dataclass(frozen=True)
class Disturb:
    """Set the mode of a proxy for a while."""

    name: str
    mode: proxy.Mode


@dataclasses.dataclass(frozen=True)
class Silence:
    """Stop all traffic on the open connections of a proxy permanently."""

    name: str


@dataclasses.dataclass(frozen=True)
class StoreDown:
    """Refuse calls to the store, all or those for some parts."""

    parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoreLoses:
    """Apply transactions without a reply, at once or delayed."""

    count: int
    late: bool


@dataclasses.dataclass(frozen=True)
class DropHistory:
    """Drop the store's history of changes."""


@dataclasses.dataclass(frozen=True)
class WorkerSilent:
    """Stop the replies of a worker, which keeps running."""

    name: str


@dataclasses.dataclass(frozen=True)
class WorkerCrash:
    """Crash and restart a worker."""

    name: str


@dataclasses.dataclass(frozen=True)
class OrdersLost:
    """Execute start orders without a reply, at once or delayed."""

    count: int
    late: bool


@dataclasses.dataclass(frozen=True)
class Reconfigure:
    """Write a new configuration."""


@dataclasses.dataclass(frozen=True)
class ZoneOut:
    """Take a zone out of service for a while."""

    name: str


@dataclasses.dataclass(frozen=True)
class SlowLinks:
    """Let the links of processes to the store carry few bytes for a while."""

    names: tuple[str, ...]
    kb_per_s: float


class OddEnd(enum.Enum):
    """What becomes of odd entries after a while."""

    REMOVED = "removed"
    MENDED = "mended"
    LEFT = "left"  # until the end of the run


@dataclasses.dataclass(frozen=True)
class OddEntries:
    """Write odd entries among those of the workers; mend or remove them later."""

    kinds: tuple[str, ...]
    end: OddEnd


@dataclasses.dataclass(frozen=True)
class SpoiledEntry:
    """Write an odd entry over that of a worker, which soon writes it again."""

    name: str
    kind: str


Fault = (
    End | Pause | Disturb | Silence | StoreDown | StoreLoses | DropHistory
    | WorkerSilent | WorkerCrash | OrdersLost | Reconfigure | ZoneOut
    | SlowLinks | OddEntries | SpoiledEntry | blackouts.Fault
)  # fmt: skip


def choose_fault(rng: random.Random, running: cell.Cell) -> Fault:
    """Choose a random fault by weight."""
    daemon = rng.choice(running.daemons)
    worker = rng.choice(sorted(running.workers.incarnations))
    link = rng.choice(sorted(running.proxies))
    parts = [rows.COORDINATOR_PART, *map(str, range(rows.JOB_PARTS))]
    mode = rng.choice(
        (
            proxy.Delay(rng.uniform(0.05, 0.5)),
            proxy.Reset(),
            proxy.Cut(),
            proxy.Cut(to_client=False),
            proxy.Cut(to_target=False),
        )
    )
    all_daemons = tuple(running.daemons)
    kinds: tuple[tuple[float, Fault], ...] = (
        (3, End((daemon,), signal.SIGKILL)),
        (2, End((daemon,), signal.SIGTERM)),
        (1, End(all_daemons, signal.SIGKILL)),
        (3, Pause(daemon)),
        (6, Disturb(link, mode)),
        (1, Silence(link)),
        (1, StoreDown()),
        (1, StoreDown(tuple(rng.sample(parts, 4)))),
        (2, StoreLoses(rng.randrange(1, 6), rng.random() < 0.5)),
        (1, DropHistory()),
        (1, WorkerSilent(worker)),
        (1, WorkerCrash(worker)),
        (2, OrdersLost(rng.randrange(1, 8), rng.random() < 0.5)),
        (1, Reconfigure()),
        (1, ZoneOut(rng.choice(cell.ZONES))),
    )
    weights, choices = zip(*kinds, strict=True)
    return rng.choices(choices, weights)[0]


def choose_second_fault(rng: random.Random, running: cell.Cell) -> Fault:
    """Choose a random fault of the second series by weight."""
    count = rng.randrange(1, len(running.daemons) + 1)
    kinds = running.odd_kinds
    choices = (
        SlowLinks(
            tuple(f"store of {name}" for name in rng.sample(running.daemons, count)),
            round(rng.uniform(*SLOW_KB_PER_S_RANGE), 1),
        ),
        OddEntries(
            tuple(rng.sample(kinds, rng.randrange(1, MAX_ODD_ENTRIES + 1))),
            rng.choice(list(OddEnd)),
        ),
        SpoiledEntry(
            rng.choice(sorted(running.workers.incarnations)), rng.choice(kinds)
        ),
    )
    return rng.choices(choices, (4, 2, 2))[0]


class FaultInjector:
    """Injects one series of faults, as a context manager."""

    def __init__(
        self,
        running: cell.Cell,
        rng: random.Random,
        choose: Callable[[random.Random, cell.Cell], Fault] = choose_fault,
        mean_pause_s: float = MEAN_PAUSE_S,
    ) -> None:
        self.injected: list[str] = []
        self._cell = running
        self._rng = rng
        self._choose = choose
        self._mean_pause_s = mean_pause_s
        self._injector: gevent.Greenlet | None = None
        self._active: list[gevent.Greenlet] = []

    def __enter__(self) -> FaultInjector:
        self._injector = gevent.spawn(self._run)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._injector.kill()
        gevent.killall(self._active)

    def stop(self) -> None:
        """Start no more faults and wait until the current ones end."""
        self._injector.kill()
        gevent.joinall(self._active)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(1 / self._mean_pause_s))
            fault = self._choose(self._rng, self._cell)
            duration_s = self._rng.uniform(SHORTEST_S, LONGEST_S)
            self.injected.append(f"{fault} for {duration_s:.2f} s")
            self._active.append(gevent.spawn(self.inject, fault, duration_s))

    def inject(self, fault: Fault, duration_s: float) -> None:
        """Apply a fault and end it after a while."""
        running = self._cell
        match fault:
            case End(names=names, number=number):
                for name in names:
                    running.signal(name, number)
            case Pause(name=name):
                running.signal(name, signal.SIGSTOP)
                gevent.sleep(duration_s)
                running.signal(name, signal.SIGCONT)
            case Disturb(name=name, mode=mode):
                running.proxies[name].set_mode(mode)
                gevent.sleep(duration_s)
                running.proxies[name].set_mode(proxy.Pass())
            case Silence(name=name):
                running.proxies[name].silence()
            case WorkerCrash(name=name):
                running.restart_worker(name)
            case Reconfigure():
                running.configure()
            case ZoneOut(name=name):
                running.set_zone(name, True)
                gevent.sleep(duration_s * 3)
                running.set_zone(name, False)
            case WorkerSilent(name=name):
                running.workers.silent.add(name)
                gevent.sleep(duration_s * 2)
                running.workers.silent.discard(name)
            case OrdersLost(count=count, late=late):
                self._lose_orders(count, late)
            case SlowLinks() | OddEntries() | SpoiledEntry():
                self._inject_second_fault(fault, duration_s)
            case _:
                self._inject_store_fault(fault, duration_s)

    def _inject_second_fault(self, fault: Fault, duration_s: float) -> None:
        match fault:
            case SlowLinks(names=names, kb_per_s=kb_per_s):
                self._slow_links(names, kb_per_s, duration_s * SLOW_FACTOR)
            case OddEntries(kinds=kinds, end=end):
                self._write_odd_entries(kinds, end, duration_s)
            case SpoiledEntry(name=name, kind=kind):
                self._cell.write_odd_entry(name, kind)
                gevent.sleep(MOMENT_S)
                self._cell.mend_worker(name)

    def _slow_links(
        self, names: tuple[str, ...], kb_per_s: float, duration_s: float
    ) -> None:
        links = {name: proxy.SlowLink(kb_per_s * 1000) for name in names}
        for name, link in links.items():
            self._cell.proxies[name].link = link
        gevent.sleep(duration_s)
        for name, link in links.items():
            if self._cell.proxies[name].link is link:  # no later fault replaced it
                self._cell.proxies[name].link = None

    def _write_odd_entries(
        self, kinds: tuple[str, ...], end: OddEnd, duration_s: float
    ) -> None:
        names = {f"odd-{kind.replace(' ', '-')}": kind for kind in kinds}
        for name, kind in names.items():
            self._cell.write_odd_entry(name, kind)
        gevent.sleep(duration_s)
        for name in names:
            match end:
                case OddEnd.MENDED:
                    self._cell.mend_odd_entry(name)
                case OddEnd.REMOVED:
                    self._cell.remove_entry(name)

    def _lose_orders(self, count: int, late: bool) -> None:
        workers = self._cell.workers
        if not late:
            workers.lose_answers = count
            return
        workers.delay_starts = count
        gevent.sleep(DELAY_S)
        workers.delay_starts = 0
        workers.apply_delayed()

    def _inject_store_fault(self, fault: Fault, duration_s: float) -> None:
        store = self._cell.store
        match fault:
            case StoreDown(parts=()):
                store.reachable = False
                gevent.sleep(duration_s)
                store.reachable = True
            case StoreDown(parts=parts):
                store.parts_down = set(parts)
                gevent.sleep(duration_s)
                store.parts_down = set()
            case StoreLoses(count=count, late=False):
                store.lose_answers = count
            case StoreLoses(count=count):
                store.delay_transactions = count
                gevent.sleep(DELAY_S)
                store.delay_transactions = 0
                store.apply_delayed()
            case DropHistory():
                store.drop_history()
            case blackouts.Blackout() | blackouts.Attempts():
                blackouts.inject(self._cell, fault, duration_s)
