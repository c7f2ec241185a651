"""How many stops may follow each other and be in flight, and what may run for that.

An acknowledged cancellation promises that no task runs on for long. How many tasks can
be stopped in that time follows from the connections that each worker takes and that
this process can hold, and from its processor. It performs no I/O; times are seconds.
"""

from __future__ import annotations

import dataclasses
import math

# A stop may take as long as the platform permits, and the network adds to that.
ANSWER_MARGIN_S = 0.2
RETRY_S = 0.25  # pause before a stop without an answer is repeated
# Time of a stop besides the stop itself: a new connection, its check, the answer.
ORDER_S = 0.05
# Capacity of stopped tasks becomes free early also where more time is permitted.
MAX_ROUNDS = 6
STOPS_PER_WORKER = 2  # in flight; more for a worker with many stops
# A worker resets connections beyond 64. Besides stops there are starts, a poll, and
# those that a former coordinator has not closed yet.
MAX_STOPS_PER_WORKER = 48
# To a worker between orders: starts, few stops and a poll.
KEPT_CONNECTIONS = 7
OTHER_CONNECTIONS = 100  # to the store and the approval service, and spare ones
# Memory of a stop in flight with its connection, and the part of the VM's memory that
# all of them may take.
STOP_BYTES = 24_000
MEMORY_SHARE = 1 / 10
# Processor time that a stopped task costs: the stop, the poll that lists its end and
# the write; and the part of the VM's processor that may go into that.
PROCESSOR_S = 0.0007
PROCESSOR_SHARE = 3 / 4
# Also with so many workers that all connections were taken if each had as many as it
# may keep: most have fewer.
MIN_IN_FLIGHT = 500


@dataclasses.dataclass(frozen=True, slots=True)
class TaskLimits:
    """How many tasks can be stopped in time, of one worker and of all together."""

    of_worker: float = math.inf
    in_all: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class StopLimits:
    """Times that a platform permits, and what the VM of this process can carry.

    `stop_s` is the longest time of a stop, `cancel_s` the time from the acknowledgement
    of a cancellation until the last stop has reached its worker, `ack_s` the longest
    time until that acknowledgement. `max_connections` are those to all workers.
    """

    stop_s: float = 0.4
    cancel_s: float = 4.0
    ack_s: float = 4.0
    max_connections: float = math.inf
    max_in_flight: float = 500
    max_per_s: float = math.inf

    def count_rounds(self) -> int:
        """Return how many stops may follow each other after the acknowledgement."""
        return min(MAX_ROUNDS, self._count_rounds(self.cancel_s))

    def find_max_in_flight(self, workers: int) -> int:
        """Return how many stops may be in flight, given the number of workers."""
        left = self.max_connections - KEPT_CONNECTIONS * workers
        return int(max(MIN_IN_FLIGHT, min(self.max_in_flight, left)))

    def find_task_limits(self, workers: int) -> TaskLimits:
        """Return how many tasks can be stopped in time, given the number of workers.

        Stops are sent from the cancellation on; its acknowledgement waits while more
        are left than may follow it.
        """
        permitted_s = self.ack_s + self.cancel_s
        rounds = self._count_rounds(permitted_s)
        of_worker = rounds * MAX_STOPS_PER_WORKER
        in_all = min(
            workers * of_worker,
            rounds * self.find_max_in_flight(workers),
            permitted_s * self.max_per_s,
        )
        return TaskLimits(of_worker, in_all)

    def _count_rounds(self, permitted_s: float) -> int:
        """Return how many stops may follow each other; one of them may be lost."""
        lost_s = self.stop_s + ANSWER_MARGIN_S + RETRY_S
        spare_s = max(0.0, permitted_s - lost_s)
        return 1 + int(spare_s / (self.stop_s + ORDER_S))


DEFAULT = StopLimits()


def choose(
    stop_s: float,
    cancel_s: float,
    ack_s: float,
    max_connections: float,
    memory_bytes: float,
    cores: float,
) -> StopLimits:
    """Return the limits for a VM; memory and cores of 0 are unknown."""
    return StopLimits(
        stop_s,
        cancel_s,
        ack_s,
        max_connections - OTHER_CONNECTIONS,
        memory_bytes * MEMORY_SHARE / STOP_BYTES if memory_bytes > 0 else math.inf,
        cores * PROCESSOR_SHARE / PROCESSOR_S if cores > 0 else math.inf,
    )
