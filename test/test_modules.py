import ast
import importlib
import pathlib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("toucanspring", "standins", "bench", "demo", "scenarios", "spec")


def imported(tree):
    """Return the project's modules that a module imports, by name."""
    found = {}
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.level:
            continue
        if (node.module or "").split(".")[0] not in PACKAGES:
            continue
        for alias in node.names:
            name = f"{node.module}.{alias.name}"
            found[alias.asname or alias.name] = importlib.import_module(name)
    return found


class ModulesTest(testtools.TestCase):
    def test_names_taken_from_modules_exist(self):
        # Guards against a name that has moved to another module and is still used
        # where no test goes, as in a benchmark.
        missing = []
        for package in PACKAGES:
            for path in sorted((ROOT / package).rglob("*.py")):
                tree = ast.parse(path.read_text())
                modules = imported(tree)
                missing += [
                    f"{path.name}:{node.lineno} {node.value.id}.{node.attr}"
                    for node in ast.walk(tree)
                    if isinstance(node, ast.Attribute)
                    and isinstance(node.value, ast.Name)
                    and node.value.id in modules
                    and not hasattr(modules[node.value.id], node.attr)
                ]
        self.assertEqual([], missing)
