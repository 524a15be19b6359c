"""Imports run one way, and what the pages name exists.

The order is that of docs/architecture.md.  A unit is a package, or a part of one where a package has parts on
two floors.  A unit may import units of lower floors, and those that stand after it on its own floor.
"""

import ast
import pathlib
import re
import tomllib

from testtools import TestCase

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "vetchusher"

# Parts of packages that stand on another floor than the rest; the longest prefix counts.
PARTS = {
    "vetchusher.distribution.wire_pb2": "messages",  # generated; imports nothing of ours
    "vetchusher.net.chunks": "sockets",
    "vetchusher.net.door": "sockets",  # what both programs have of `net`
    "vetchusher.net.links": "sockets",
    "vetchusher.net.plain": "sockets",
    "vetchusher.settings.fleet": "daemon settings",  # read for the daemon alone, into types of its packages
    "vetchusher.settings.limits": "daemon settings",
}

SYSTEM = [
    ["node"],
    ["control", "routing", "directory", "discovery", "distribution"],
    ["quota", "rollout"],
]
DAEMON = [
    ["__main__", "wirehost", "net"],
    ["daemon settings", "duties", "membership", "datagrams"],
    ["policy", "fleet", "limits"],
    ["wire", "state", "interface"],
]
SHARED = [
    ["sockets"],
    ["settings", "events", "errors", "fields", "messages", "vetchusher"],
]
ABOVE = ["emulator"]  # stand-ins and virtual time; no part of either program imports them

# `vetchusher` itself gives the daemon's decision module to whoever embeds it.
FACE = ("vetchusher", "policy")


def modules() -> dict[str, pathlib.Path]:
    """All modules of the program by their full names."""
    found = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = modules()


def unit(module: str) -> str:
    """The unit to which a module belongs."""
    if module in PARTS:
        return PARTS[module]
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else parts[0]


def base_of(module: str, path: pathlib.Path, node: ast.ImportFrom) -> str:
    """The full name of what `from ... import` names, relative ones too."""
    if not node.level:
        return node.module or ""
    package = module.split(".") if path.name == "__init__.py" else module.split(".")[:-1]
    package = package[: len(package) - node.level + 1]
    return ".".join([*package, node.module] if node.module else package)


def imports(module: str) -> list[tuple[str, int]]:
    """Our modules that a module imports, at its top, in functions or for types alone; and the lines."""
    path = MODULES[module]
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [(alias.name, node.lineno) for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            base = base_of(module, path, node)
            for alias in node.names:
                full = f"{base}.{alias.name}"
                found.append((full if full in MODULES else base, node.lineno))
    return [(name, line) for name, line in found if name.split(".")[0] == "vetchusher"]


def crossings() -> list[tuple[str, str, str]]:
    """Every import from one unit to another: both units, and where it stands."""
    found = []
    for module in MODULES:
        for name, line in imports(module):
            if unit(module) != unit(name):
                place = f"{MODULES[module].relative_to(ROOT)}:{line} imports {name}"
                found.append((unit(module), unit(name), place))
    return found


def allowed(floors: list[list[str]]) -> dict[str, set[str]]:
    """What each unit may import: all that stand after it."""
    order = [name for floor in floors for name in floor]
    return {name: set(order[place + 1 :]) for place, name in enumerate(order)}


SYSTEM_MAY = allowed([*SYSTEM, *SHARED])
DAEMON_MAY = allowed([*DAEMON, *SHARED])


class Imports(TestCase):
    def test_every_unit_has_its_place(self):
        placed = {name for floor in [*SYSTEM, *DAEMON, *SHARED, ABOVE] for name in floor}
        self.assertEqual(placed, {unit(module) for module in MODULES})

    def test_imports_run_one_way_and_neither_program_imports_the_other(self):
        wrong = []
        for importer, imported, place in crossings():
            if importer in ABOVE or (importer, imported) == FACE:
                continue
            if imported not in SYSTEM_MAY.get(importer, set()) | DAEMON_MAY.get(importer, set()):
                wrong.append(place)
        self.assertEqual([], wrong)

    def test_no_module_is_reached_from_itself(self):
        """Circles of modules, beside those that one function alone closes by importing late."""
        graph = {
            module: {name for name, _ in imports(module) if name in MODULES and name != module}
            for module in MODULES
        }
        graph["vetchusher"] = set()  # its face, above
        while leaves := {module for module, names in graph.items() if not names & graph.keys()}:
            graph = {module: names for module, names in graph.items() if module not in leaves}
        self.assertEqual([], sorted(graph))

    def test_decisions_and_protocols_do_no_io(self):
        outside = {"asyncio", "aiohttp", "socket", "threading", "subprocess", "time", "selectors", "sqlite3"}
        pure = {"routing", "directory", "discovery", "quota", "limits", "policy", "fleet", "duties"}
        pure |= {"membership", "datagrams", "control", "distribution"}
        disks = {
            f"vetchusher.control.{name}"
            for name in ("store", "stored_rows", "database_file", "migration", "archive")
        }
        disks.add("vetchusher.distribution.snapshot")
        wrong = []
        for module, path in MODULES.items():
            if unit(module) not in pure or module in disks:
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ast.ImportFrom) and not node.level:
                    names = [node.module or ""]
                wrong += [f"{module}: {name}" for name in names if name.split(".")[0] in outside]
        self.assertEqual([], wrong)


# Pages about the present; incidents, results and the journal keep the names of their day.
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
    *sorted((ROOT / "docs" / "design").glob("*.md")),
    *sorted((ROOT / "docs" / "operators").glob("*.md")),
]
FILE_NAMED = re.compile(r"`((?:[a-z_0-9]+/)*[a-z_0-9]+\.py)`")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
MEMBER = re.compile(r"`([A-Z][A-Za-z]+)\.([a-z_]+)`")
DEFINED = re.compile(r"`((?:[a-z_0-9]+/)+[a-z_0-9]+\.py)` `([A-Za-z_]+)`")


def exists(named: str) -> bool:
    """Whether a file that a page names by its last parts is there."""
    if "/" not in named:
        return any(path.name == named for path in ROOT.glob("[a-z]*/**/*.py"))
    return any((top / named).is_file() for top in (ROOT, PACKAGE))


def members() -> dict[str, set[str]]:
    """By class name: its methods and fields, those that its methods set on `self` too."""
    found: dict[str, set[str]] = {}
    for path in MODULES.values():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = found.setdefault(node.name, set())
                for part in ast.walk(node):
                    if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef):
                        names.add(part.name)
                    elif isinstance(part, ast.AnnAssign) and isinstance(part.target, ast.Name):
                        names.add(part.target.id)
                    elif isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
                        names.add(part.attr)
    return found


class Pages(TestCase):
    def test_files_that_pages_name_exist(self):
        gone = [
            f"{page.relative_to(ROOT)}: {named}"
            for page in PAGES
            for named in FILE_NAMED.findall(page.read_text())
            if not exists(named)
        ]
        self.assertEqual([], gone)

    def test_links_lead_somewhere(self):
        broken = [
            f"{page.relative_to(ROOT)}: {link}"
            for page in PAGES
            for link in LINK.findall(page.read_text())
            if not (page.parent / link).exists()
        ]
        self.assertEqual([], broken)

    def test_what_the_architecture_names_in_a_class_is_there(self):
        known = members()
        pages = [ROOT / "docs" / name for name in ("architecture.md", "daemon.md")]
        named = [found for page in pages for found in MEMBER.findall(page.read_text())]
        self.assertEqual([], [f"{owner}.{name}" for owner, name in named if name not in known.get(owner, ())])

    def test_the_glossary_names_what_is_defined(self):
        gone = []
        for named, name in DEFINED.findall((ROOT / "docs" / "glossary.md").read_text()):
            tree = ast.parse((PACKAGE / named).read_text())
            defined = {node.name for node in tree.body if isinstance(node, ast.ClassDef | ast.FunctionDef)}
            if name not in defined:
                gone.append(f"{named}: {name}")
        self.assertEqual([], gone)

    def test_paths_that_a_deployment_names_exist(self):
        deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        gone = [path for path in deployment["policy"] + deployment["node"] if not (ROOT / path).exists()]
        self.assertEqual([], gone)
