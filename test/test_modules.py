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
        # Guards against a name that has moved to another module and is still used in
        # code without tests, such as benchmarks.
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

    def test_no_modules_import_each_other_in_a_cycle(self):
        # Modules in an import cycle cannot be read, tested or moved separately.
        self.assertEqual([], find_import_cycles(read_imports(ROOT / "toucanspring")))


def read_imports(package):
    """Return for each module of a package its imports from the same package."""
    names = {
        ".".join(path.relative_to(package.parent).with_suffix("").parts): path
        for path in package.rglob("*.py")
    }
    found = {}
    for name, path in names.items():
        found[name] = {
            f"{node.module}.{alias.name}"
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
        } & names.keys()
    return found


def find_import_cycles(imports):
    """Return the modules that are in an import cycle or import one that is."""
    left = dict(imports)
    while ready := [name for name, needs in left.items() if not needs & left.keys()]:
        for name in ready:
            del left[name]
    return sorted(left)
