"""Search for an ID in the partitions of the present and of former numbers."""

from __future__ import annotations

from collections.abc import Callable

from toucanspring import errors
from toucanspring.cell import layout

# Each round follows another change of the layout or a handover.
MAX_ROUNDS = 5


def find(
    service: layout.Service,
    name: str,
    ask: Callable[[int], object | errors.Failure],
) -> object | errors.Failure:
    """Return the first answer of a partition other than `NotFound`.

    What has ended moves only to the partition of the present number, so that one is
    asked again after the others. `NotFound` is certain only if the row `layout` is
    still the same: a process that has not seen a change would ask the wrong owners.
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
                reason=f"not known whether it exists: {failure.reason}"
            )
        if service.view.version == view.version:
            return found
    return errors.Unavailable(reason="the number of partitions is being changed")
