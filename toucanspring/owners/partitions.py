"""Service `partitions`: runs the owned partitions and routes calls to owners."""

from __future__ import annotations

import collections
from collections.abc import Mapping

import gevent
import gevent.event
import gevent.pool
import logbook

from toucanspring import errors, job, kernel, settings, uptime
from toucanspring.cell import claims, layout, reply
from toucanspring.configuration import documents
from toucanspring.owners import (
    duplicate_check,
    inbox,
    log_records,
    owner_calls,
    partition,
    request_log,
    routes,
    search,
)
from toucanspring.reporting import survey
from toucanspring.scheduling import effects

log = logbook.Logger(__name__)

ASK_TIMEOUT_S = 3.0
MAX_CONCURRENT_ROUTES = 32
MAX_SPECS_PER_CALL = 200


class Service:
    """Run the partitions of this process and call the owners of others."""

    def __init__(self, core: kernel.Kernel, options: settings.Settings) -> None:
        self._kernel = core
        self._settings = options
        self._owned: dict[int, partition.Partition] = {}
        self._stopping = False
        self.routes = routes.Routes(core, self._owned)
        self._duplicate_check = duplicate_check.DuplicateCheck(core, self.routes)
        self._calls = owner_calls.OwnerCalls(core, self._owned, self._duplicate_check)

    def start(self) -> None:
        """Subscribe to ownership changes and serve calls of other processes."""
        self._kernel.subscribe(claims.PartitionAcquired, self._acquire)
        self._kernel.subscribe(claims.PartitionLost, self._handle_lost_partition)
        self._kernel.subscribe(documents.ConfigurationChanged, self._documents_changed)
        self._kernel.subscribe(
            documents.AvailabilityZonesChanged, self._documents_changed
        )
        self._kernel.subscribe(layout.LayoutChanged, self._layout_changed)
        self._calls.serve(self.routes)

    def stop_accepting(self) -> None:
        """Close all partitions after pending log records are written."""
        self.stop()

    def stop(self) -> None:
        """Close all partitions after pending log records are written."""
        self._stopping = True
        gevent.joinall(
            [gevent.spawn(self._close, number) for number in list(self._owned)]
        )

    def _acquire(self, event: claims.PartitionAcquired) -> None:
        if self._stopping:
            return
        self._close(event.partition)
        owned = partition.Partition(
            event.partition, event.epoch, self._kernel, self._settings
        )
        self._owned[event.partition] = owned
        owned.__enter__()

    def _handle_lost_partition(self, event: claims.PartitionLost) -> None:
        owned = self._owned.get(event.partition)
        if owned is not None and event.superseded:
            owned.superseded = True
        self._close(event.partition)

    def _close(self, number: int) -> None:
        owned = self._owned.pop(number, None)
        if owned is not None:
            owned.__exit__()

    def _documents_changed(self, _event: object) -> None:
        for owned in self._owned.values():
            owned.post(inbox.TeamsChanged())

    def _layout_changed(self, _event: object) -> None:
        for owned in self._owned.values():
            owned.apply_layout()

    @property
    def _layout(self) -> layout.Service:
        return self._kernel.find("layout")

    # Calls

    def submit(self, specs: list[job.JobSpec]) -> list[str | errors.Failure]:
        """Accept jobs; each result is the job ID, once durable, or a failure.

        A failure of type `Ambiguous` means that the job may still be accepted.
        """
        answers: list[str | errors.Failure] = [errors.Unavailable()] * len(specs)
        remaining = list(range(len(specs)))
        deadline = uptime.now() + routes.ROUTE_LIMIT_S
        while remaining:
            self._submit_once(specs, remaining, answers)
            remaining = [
                index
                for index in remaining
                if isinstance(answers[index], errors.LayoutChanged)
            ]
            if not remaining or uptime.now() >= deadline:
                break
            gevent.sleep(routes.RETRY_PAUSE_S)
            self._layout.reread()
        return answers

    def _submit_once(
        self,
        specs: list[job.JobSpec],
        remaining: list[int],
        answers: list[str | errors.Failure],
    ) -> None:
        """Submit the jobs with the given indices to the current owners of their IDs."""
        groups: dict[int, list[int]] = collections.defaultdict(list)
        for index in remaining:
            groups[self.accepting_partition(specs[index].id)].append(index)

        def submit_group(number: int, indices: list[int]) -> None:
            body = reply.encode([specs[index] for index in indices])
            found = self.routes.call(
                number, "submit", body, list[str | dict[str, object]]
            )
            for position, index in enumerate(indices):
                if isinstance(found, errors.Failure):
                    answers[index] = found
                else:
                    answers[index] = reply.unpack(found[position])

        pool = gevent.pool.Pool(MAX_CONCURRENT_ROUTES)
        for number, indices in groups.items():
            for start in range(0, len(indices), MAX_SPECS_PER_CALL):
                pool.spawn(
                    submit_group, number, indices[start : start + MAX_SPECS_PER_CALL]
                )
        pool.join()

    def lookup(self, job_id: str) -> effects.JobStatus | errors.Failure:
        """Return the state of a job as its owner reports it."""
        return self._find(job_id, "lookup", effects.JobStatus)

    def explain(self, job_id: str) -> effects.Explanation | errors.Failure:
        """Return why a job waits or where it was placed, as its owner reports it."""
        return self._find(job_id, "explain", effects.Explanation)

    def _find(self, job_id: str, method: str, kind: type) -> object | errors.Failure:
        """Ask each partition that may hold a job, the accepting one first."""

        def ask(number: int) -> object | errors.Failure:
            return self.routes.call(number, method, job_id.encode(), kind)

        return search.find(self._layout, job_id, ask)

    def cancel(self, job_ids: list[str]) -> dict[str, str | errors.Failure]:
        """Cancel jobs at their owners."""
        groups: dict[int, list[str]] = collections.defaultdict(list)
        for job_id in job_ids:
            groups[self.accepting_partition(job_id)].append(job_id)
        answers: dict[str, str | errors.Failure] = {}
        self._cancel_groups(groups, answers)
        unknown = [
            name for name in job_ids if isinstance(answers[name], errors.NotFound)
        ]

        def search_for(name: str) -> None:
            def ask(number: int) -> str | errors.Failure:
                found: dict[str, str | errors.Failure] = {}
                self._cancel_groups({number: [name]}, found)
                return found[name]

            answers[name] = search.find(self._layout, name, ask)

        pool = gevent.pool.Pool(MAX_CONCURRENT_ROUTES)
        pool.map(search_for, unknown)
        return answers

    def _cancel_groups(
        self,
        groups: Mapping[int, list[str]],
        answers: dict[str, str | errors.Failure],
    ) -> None:
        def cancel_group(number: int, names: list[str]) -> None:
            found = self.routes.call(
                number,
                "cancel",
                reply.encode(names),
                dict[str, str | dict[str, object]],
            )
            for name in names:
                if isinstance(found, errors.Failure):
                    answers[name] = found
                else:
                    answers[name] = reply.unpack(found[name])

        gevent.joinall([gevent.spawn(cancel_group, *group) for group in groups.items()])

    def workers(self) -> survey.WorkerSurvey:
        """Return the workers of all partitions and which owners did not respond."""
        jobs = [
            gevent.spawn(
                self.routes.call, number, "workers", b"", list[survey.WorkerStatus]
            )
            for number in range(self._layout.layout.count)
        ]
        gevent.joinall(jobs)
        answered = survey.WorkerSurvey([], {})
        for number, found in enumerate(jobs):
            match found.value:
                case list():
                    answered.workers.extend(found.value)
                case errors.Failure():
                    answered.silent[number] = found.value
                case _:
                    answered.silent[number] = errors.Unknown(reason="internal error")
        return answered

    def begin_request(
        self, request_id: str, server: str
    ) -> (
        request_log.Begun | request_log.Finished | request_log.Running | errors.Failure
    ):
        """Record that a request may be sent; only at the owner of its partition."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        version = None
        if not owned.requests.holds(request_id):
            version = self._duplicate_check.check_request(owned, request_id)
            if isinstance(version, errors.Failure):
                return version
        return owned.requests.begin(request_id, server, version)

    def move_request(
        self, request_id: str, server: str
    ) -> request_log.Begun | errors.Failure:
        """Record another server for a request that certainly has not run."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.move(request_id, server)

    def finish_request(
        self, request_id: str, outcome: job.Outcome
    ) -> None | errors.Failure:
        """Record the outcome of a request; only at the owner of its partition."""
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.finish(request_id, outcome)

    def request_entry(
        self, request_id: str
    ) -> log_records.RequestEntry | errors.Failure:
        """Return the log entry of a request; only at the owner of its partition.

        `NotFound` means that no other partition has the request either.
        """
        owned = self._find_owned(request_id)
        if isinstance(owned, errors.Failure):
            return owned
        found = owned.requests.find(request_id)
        if isinstance(found, errors.NotFound):
            checked = self._duplicate_check.check_request(owned, request_id)
            if isinstance(checked, errors.Failure):
                return checked
            found = owned.requests.find(request_id)  # may have been added meanwhile
        return found

    def entry_in(
        self, number: int, request_id: str
    ) -> log_records.RequestEntry | errors.Failure:
        """Return the log entry of a request in one partition, if it is owned here."""
        owned = self._wait_for_owned(number)
        if isinstance(owned, errors.Failure):
            return owned
        return owned.requests.find(request_id)

    def accepting_partition(self, name: str) -> int:
        """Return the partition that accepts a job or request ID."""
        return self._layout.layout.partition_of(name)

    def request_partition(self, request_id: str) -> int:
        """Return the owned partition that has a request, else the accepting one."""
        numbers = self._layout.layout.possible_partitions(request_id)
        for number in numbers:
            owned = self._owned.get(number)
            if owned is not None and owned.requests.holds(request_id):
                return number
        return numbers[0]

    def owned(self) -> dict[int, partition.Partition]:
        """Return the partitions that run in this process."""
        return dict(self._owned)

    def _find_owned(self, name: str) -> partition.Partition | errors.Failure:
        return self._wait_for_owned(self.request_partition(name))

    def _wait_for_owned(self, number: int) -> partition.Partition | errors.Failure:
        owned = self._owned.get(number)
        if owned is None or not owned.ready.wait(ASK_TIMEOUT_S):
            # Not `NotFound`, which would mean that the log has no such request.
            return errors.Refused(reason="this process does not own the partition")
        if not self._kernel.find("claims").may_start(owned.number, uptime.now()):
            return errors.Unavailable(reason="ownership of the partition is uncertain")
        return owned
