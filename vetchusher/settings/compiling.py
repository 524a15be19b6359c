"""Generates Python validators from the schemas: `python3 -m vetchusher.settings.compiling FOLDER`.

FOLDER must be on Python's import path. The build runs this module; `compiled.py` loads the result.
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

from .schemas import GENERATED_PACKAGE, MisfitError, read_schema, schema_digest

SCHEMA_NAMES = ("node", "configuration")
# Keywords of a subschema that error messages need; the generated code keeps no others.
MESSAGE_KEYWORDS = (
    "type",
    "minimum",
    "exclusiveMinimum",
    "maximum",
    "enum",
    "required",
    "refusals",
    "writeOnly",
)


def generate_source(schema: bytes) -> str:
    """Return the source of a validator module for a schema.

    Beside the function `validate` the module defines what `CompiledSchema` needs: `SCHEMA`, the digest of the
    schema; `NAMES`, its property names; `DEFINITIONS`, the parts of subschemas that error messages need.
    """
    tree = json.loads(schema)
    module = ast.parse(
        compile_to_code(inline_references(tree, tree.get("$defs", {})), use_default=False, use_formats=False)
    )
    reducer = ValidatorReducer()
    module = ast.fix_missing_locations(reducer.visit(module))
    head = (
        f"SCHEMA = {schema_digest(schema)!r}",
        f"NAMES = frozenset({sorted(set(property_names(tree)))!r})",
        f"DEFINITIONS = ({''.join(f'{each}, ' for each in reducer.definition_numbers)})",
    )
    return "\n".join((*head, ast.unparse(module), ""))


def inline_references(part: Any, definitions: dict[str, Any]) -> Any:
    """Return the schema with every `$ref` replaced by its definition; definitions must not be recursive.

    For a `$ref` fastjsonschema generates a function call whose path argument is formatted before the check,
    which doubles the time of a validation.
    """
    if isinstance(part, list):
        return [inline_references(each, definitions) for each in part]
    if not isinstance(part, dict):
        return part
    inlined = {
        name: inline_references(each, definitions)
        for name, each in part.items()
        if name not in ("$ref", "$defs")
    }
    return (
        inline_references(definitions[part["$ref"].removeprefix("#/$defs/")], definitions) | inlined
        if "$ref" in part
        else inlined
    )


class ValidatorReducer(ast.NodeTransformer):
    """Removes from a generated validator what is expensive to load or to run and not needed here.

    - fastjsonschema puts a copy of the whole subschema beside each rule, which multiplies the code to load at
      every start. Each copy is replaced by an index into `DEFINITIONS`, and the message text is dropped.
    - The library's exceptions and `Decimal`, which no validated document contains, would load modules that
      nothing else needs.
    - The path of a value is formatted with all local variables as arguments, even for a branch of `oneOf`
      that does not match, which is no error. It becomes an f-string.
    """

    def __init__(self) -> None:
        """Start with no definitions."""
        self.definition_numbers: dict[str, int] = {}  # source text of a definition -> its index

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.AST | None:
        """Import `MisfitError` in place of the library's exceptions, and do not import `Decimal`."""
        if node.module != "fastjsonschema":
            return None if node.module == "decimal" else node
        return ast.ImportFrom("vetchusher.settings.schemas", [ast.alias(MisfitError.__name__)], 0)

    def visit_Name(self, node: ast.Name) -> ast.AST:
        """Replace the library's exception by `MisfitError`."""
        return ast.Name(MisfitError.__name__ if node.id.startswith("JsonSchemaValue") else node.id, node.ctx)

    def visit_Tuple(self, node: ast.Tuple) -> ast.AST:
        """Remove `Decimal` from the types of an `isinstance` check."""
        types = [each for each in node.elts if getattr(each, "id", "") != "Decimal"]
        return self.generic_visit(ast.Tuple(types, node.ctx))

    def visit_Call(self, node: ast.Call) -> ast.AST:
        """Turn `"...".format(**locals())` into an f-string."""
        match node.func:
            case ast.Attribute(ast.Constant(str(text)), "format"):
                return ast.parse(f"f{text!r}", mode="eval").body
        return self.generic_visit(node)

    def visit_Raise(self, node: ast.Raise) -> ast.AST:
        """Raise `MisfitError` with the index of the definition in place of its text."""
        call = node.exc
        assert isinstance(call, ast.Call)
        given = {each.arg: each.value for each in call.keywords}
        definition = ast.literal_eval(given["definition"])
        source = repr({key: definition[key] for key in MESSAGE_KEYWORDS if key in definition})
        index = ast.Constant(self.definition_numbers.setdefault(source, len(self.definition_numbers)))
        arguments = [given["value"], self.visit(given["name"]), index, given["rule"]]
        return ast.Raise(ast.Call(ast.Name(MisfitError.__name__, ast.Load()), arguments, []), None)


def property_names(tree: Any) -> Iterator[str]:
    """Yield the names of all properties in a schema, at every depth; a name may occur more than once."""
    if isinstance(tree, dict):
        yield from tree.get("properties", {})
        for value in tree.values():
            yield from property_names(value)
    elif isinstance(tree, list):
        for value in tree:
            yield from property_names(value)


def write_package(folder: str) -> None:
    """Write the validators of all schemas, source and bytecode, as a package into an existing folder.

    :raises OSError: if the folder does not exist or cannot be written
    """
    package = pathlib.Path(folder) / GENERATED_PACKAGE
    package.mkdir(exist_ok=True)
    for name, source in (
        ("__init__", ""),
        *((name, generate_source(read_schema(name))) for name in SCHEMA_NAMES),
    ):
        path = package / f"{name}.py"
        path.write_text(source)
        py_compile.compile(str(path), doraise=True)


if __name__ == "__main__":
    write_package(sys.argv[1])
