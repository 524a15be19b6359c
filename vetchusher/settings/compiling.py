"""Makes code of our schemas: `python3 -m vetchusher.settings.compiling FOLDER`, a folder on Python's path.

The build calls it; see `compiled.py`.
"""

from __future__ import annotations

import ast
import json
import pathlib
import py_compile
import sys
from collections.abc import Iterator
from typing import Any

from fastjsonschema import compile_to_code

from .schemas import PACKAGE, MisfitError, digest, schema_of

FORMS = ("node", "configuration")
# What a refusal may have to say of a rule; of the rest of a definition the code keeps nothing.
KEPT = ("type", "minimum", "exclusiveMinimum", "maximum", "enum", "required", "refusals", "writeOnly")


def source_of(schema: bytes) -> str:
    """The module that holds a tree to the schema, for `Form`; and in `SCHEMA` the digest of the schema."""
    tree = json.loads(schema)
    module = ast.parse(
        compile_to_code(whole(tree, tree.get("$defs", {})), use_default=False, use_formats=False)
    )
    lean = Lean()
    module = ast.fix_missing_locations(lean.visit(module))
    head = (
        f"SCHEMA = {digest(schema)!r}",
        f"NAMES = frozenset({sorted(set(names_in(tree)))!r})",
        f"DEFINITIONS = ({''.join(f'{each}, ' for each in lean.found)})",
    )
    return "\n".join((*head, ast.unparse(module), ""))


def whole(part: Any, parts: dict[str, Any]) -> Any:
    """The schema with every `$ref` taken out by what it names, which may not name itself.

    Danger: for each `$ref` the code would call a function, with a name of the place made up in advance, which
    takes as long again.
    """
    if isinstance(part, list):
        return [whole(each, parts) for each in part]
    if not isinstance(part, dict):
        return part
    found = {name: whole(each, parts) for name, each in part.items() if name not in ("$ref", "$defs")}
    return whole(parts[part["$ref"].removeprefix("#/$defs/")], parts) | found if "$ref" in part else found


class Lean(ast.NodeTransformer):
    """The code without what is dear and not needed here.

    Danger: beside each rule stands a copy of its definition with all that is in it, many times as much code
    to load at each start: what is left is the definition's number, and no text. The library's exceptions and
    `Decimal`, which no tree of ours has, would load modules that nothing else needs. The name of a place is
    made of all local variables, and is made also where a branch of `oneOf` does not fit, which is no fault.
    """

    def __init__(self) -> None:
        self.found: dict[str, int] = {}  # the definitions as code, each with its number

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.AST | None:
        if node.module != "fastjsonschema":
            return None if node.module == "decimal" else node
        return ast.ImportFrom("vetchusher.settings.schemas", [ast.alias(MisfitError.__name__)], 0)

    def visit_Name(self, node: ast.Name) -> ast.AST:
        return ast.Name(MisfitError.__name__ if node.id.startswith("JsonSchemaValue") else node.id, node.ctx)

    def visit_Tuple(self, node: ast.Tuple) -> ast.AST:
        kinds = [each for each in node.elts if getattr(each, "id", "") != "Decimal"]
        return self.generic_visit(ast.Tuple(kinds, node.ctx))

    def visit_Call(self, node: ast.Call) -> ast.AST:
        match node.func:
            case ast.Attribute(ast.Constant(str(text)), "format"):
                return ast.parse(f"f{text!r}", mode="eval").body
        return self.generic_visit(node)

    def visit_Raise(self, node: ast.Raise) -> ast.AST:
        call = node.exc
        assert isinstance(call, ast.Call)
        given = {each.arg: each.value for each in call.keywords}
        definition = ast.literal_eval(given["definition"])
        kept = repr({key: definition[key] for key in KEPT if key in definition})
        number = ast.Constant(self.found.setdefault(kept, len(self.found)))
        of = [given["value"], self.visit(given["name"]), number, given["rule"]]
        return ast.Raise(ast.Call(ast.Name(MisfitError.__name__, ast.Load()), of, []), None)


def names_in(tree: Any) -> Iterator[str]:
    """The names of all properties in a schema."""
    if isinstance(tree, dict):
        yield from tree.get("properties", {})
        for value in tree.values():
            yield from names_in(value)
    elif isinstance(tree, list):
        for value in tree:
            yield from names_in(value)


def write_down(folder: str) -> None:
    """Write the code of all forms into a package in the folder, which has to be there."""
    place = pathlib.Path(folder) / PACKAGE
    place.mkdir(exist_ok=True)
    for name, source in (("__init__", ""), *((name, source_of(schema_of(name))) for name in FORMS)):
        path = place / f"{name}.py"
        path.write_text(source)
        py_compile.compile(str(path), doraise=True)


if __name__ == "__main__":
    write_down(sys.argv[1])
