"""Command `validate`."""

from toucanspring import errors
from toucanspring.configuration import reader, text
from toucanspring.terminal import console, source


def run(_context: console.Context, path: str) -> console.Result:
    """Check a configuration without an endpoint.

    :param path: file with the configuration, or `-` for the standard input
    """
    cell = reader.parse_all(source.read(path))
    if isinstance(cell, text.Cell):
        counts = {name: len(getattr(cell, name)) for name in text.SECTIONS}
        summary = ", ".join(
            f"{count} {name.replace('_', ' ')}" for name, count in counts.items()
        )
        return console.Result(
            {"valid": True, "cell": cell.name, **counts},
            f"cell {cell.name} is valid: {summary}",
        )
    faults = [errors.to_dict(fault) for fault in cell]
    return console.Result(
        {"valid": False, "faults": faults},
        source.show_faults(path, cell),
        console.EXIT_INVALID,
    )
