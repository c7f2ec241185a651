"""What operators have configured: queues, organisations, zones out of service."""

from __future__ import annotations

import dataclasses

from toucanspring import errors, resources


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Approval:
    """Describe a queue whose placements an approval service must allow.

    `decision_s` and `per_worker_s` give the time of one question, `validity_s` how
    long a ticket lasts.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Describe where jobs enter and which pool of workers runs them."""

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 1.0
    open: bool = False  # accepts calls without a key
    approval: Approval | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Describe a team's share of a full cell and its ceiling (0: no limit)."""

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    ceiling: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """Hold one version of the configuration."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    organisations: dict[str, Organisation] = dataclasses.field(default_factory=dict)
    _by_key: dict[str, str] = dataclasses.field(default_factory=dict)
    _by_name: dict[str, Queue] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self._by_name.update({queue.name: queue for queue in self.queues})
        for organisation in self.organisations.values():
            self._by_key.update(dict.fromkeys(organisation.keys, organisation.name))

    def queue(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        return self._by_name.get(name)

    def route(self, host: str, path: str) -> Queue | errors.NotFound:
        """Return the queue with the longest prefix of a path on a host."""
        best: Queue | None = None
        for queue in self.queues:
            if (
                queue.host == host
                and path.startswith(queue.path_prefix)
                and (best is None or len(queue.path_prefix) > len(best.path_prefix))
            ):
                best = queue
        return best or errors.NotFound(reason=f"no queue for {host}{path}")

    def organisation_of(self, key: str, queue: Queue) -> str | errors.Forbidden:
        """Return whose key was presented; an open queue needs none."""
        found = self._by_key.get(key)
        if found is not None:
            return found
        if queue.open:
            return ""
        return errors.Forbidden(reason="the key is unknown or was withdrawn")
