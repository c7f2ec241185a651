"""Search for an ID in the partitions of the current and former partition counts."""

from __future__ import annotations

from collections.abc import Callable

from toucanspring import errors
from toucanspring.cell import layout

# Each further round follows a layout change, by an operator or after a handover.
MAX_ROUNDS = 5


def find(
    service: layout.Service,
    name: str,
    ask: Callable[[int], object | errors.Failure],
) -> object | errors.Failure:
    """Return the first result of a partition other than `NotFound`.

    Ended work is handed over only to the partition of the current partition count,
    so this one is asked again after the others. `NotFound` is certain only if the row
    `layout` is unchanged: a process that missed a change asks the wrong owners.
    """
    for _ in range(MAX_ROUNDS):
        view = service.view
        numbers = view.layout.possible_partitions(name)
        if len(numbers) > 1:
            numbers.append(numbers[0])
        for number in numbers:
            found = ask(number)
            if not isinstance(found, errors.NotFound):
                return found
        failure = service.reread()
        if failure is not None:
            return errors.Unavailable(
                reason=f"cannot tell whether it exists: {failure.reason}"
            )
        if service.view.version == view.version:
            return found
    return errors.Unavailable(reason="the number of partitions is being changed")
