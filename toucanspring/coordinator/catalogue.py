"""Configuration of queues and organisations."""

from __future__ import annotations

import dataclasses

from toucanspring import errors, resources
from toucanspring.coordinator import job_specs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Approval:
    """Settings of a queue whose placements need approval by the approval service.

    A request is expected to take `decision_s` plus `per_worker_s` for each worker. A
    ticket is valid for `validity_s`.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """A queue: its HTTP route, its pool of workers and its deadline targets.

    The result of a job is due after `stretch` times the sum of its estimated step run
    times, plus `target_s`.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 1.0
    open: bool = False  # accepts requests without an API key
    approval: Approval | None = None


def to_settings(queue: Queue) -> job_specs.QueueSettings:
    """Return what is stored of a queue with each of its jobs."""
    approval = queue.approval
    return job_specs.QueueSettings(
        pool=queue.pool,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_s=queue.target_s,
        approval=approval and dataclasses.astuple(approval),
    )


def restore_queue(name: str, settings: job_specs.QueueSettings) -> Queue:
    """Return a queue that no configuration has any more, without a route."""
    approval = settings.approval
    return Queue(
        name=name,
        host="",
        path_prefix="",
        pool=settings.pool,
        priority=settings.priority,
        max_attempts=settings.max_attempts,
        stretch=settings.stretch,
        target_s=settings.target_s,
        approval=approval
        and Approval(
            decision_s=approval[0], per_worker_s=approval[1], validity_s=approval[2]
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """An organisation with its fair-share weight and ceiling (0: no limit)."""

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    ceiling: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """One version of the configuration."""

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
        """Return the queue with a name, or None."""
        return self._by_name.get(name)

    def route(self, host: str, path: str) -> Queue | errors.NotFound:
        """Return the queue of a host with the longest matching path prefix."""
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
        """Return the organisation of an API key, or "" if an open queue needs none."""
        found = self._by_key.get(key)
        if found is not None:
            return found
        if queue.open:
            return ""
        return errors.Forbidden(reason="the key is unknown or was withdrawn")
