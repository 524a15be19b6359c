"""`python3 -m vetchusher.node`: run a process of the system, check its files, look into its store.

Codes: 0 done; 1 it could not serve; 2 the call, or a file that it names, cannot be used.
"""

from __future__ import annotations

import os
import pathlib
import sys
from collections.abc import Callable, Sequence
from typing import Any

import fire  # type: ignore[import-untyped]
from returns.result import Failure, Result, Success

from vetchusher import __version__
from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.node import NodeSettings, read_node

from .start import EXIT_UNUSABLE, SETTINGS_VARIABLE, start


class DeferredCommand:
    """What a call asks for, not yet done.

    Danger: fire calls a command before it has looked at the rest of the line; a misspelt flag would be
    turned down when the process ends.
    """

    __slots__ = ("_do",)

    def __init__(self, do: Callable[[], int]) -> None:
        self._do = do


class Commands:
    """One process of the system on this machine."""

    def run(self, config: str = "") -> DeferredCommand:
        """Run it in the foreground until SIGTERM; SIGHUP reads the settings again.

        Args:
            config: the settings file; without it the one that $VETCHUSHER_CONFIG names
        """
        return DeferredCommand(lambda: start(str(config) or os.environ.get(SETTINGS_VARIABLE, "")))

    def check(self, settings: str = "", configuration: str = "", data: str = "") -> DeferredCommand:
        """Say in a line what each file or folder holds, or what is wrong with it (code 2).

        Args:
            settings: a settings file, as the platform writes it
            configuration: an operator's configuration, as it is sent
            data: a data folder; it is not changed
        """
        return DeferredCommand(lambda: check(str(settings), str(configuration), str(data)))

    def inspect(self, folder: str) -> DeferredCommand:
        """Show what a data folder holds, as JSON; it is not changed.

        Args:
            folder: the data_directory of a process that does not run now
        """
        return DeferredCommand(lambda: print_results([folders().inspect_folder(str(folder))]))

    def export(self, folder: str, file: str) -> DeferredCommand:
        """Write what a data folder holds into one new file, from which `import` makes a folder.

        Args:
            folder: the data_directory of a process that does not run now; it is not changed
            file: a file that does not exist yet
        """
        return DeferredCommand(lambda: print_results([folders().export_folder(str(folder), str(file))]))

    def _import(self, file: str, folder: str) -> DeferredCommand:
        """Make a data folder of an exported file, for a machine that has forgotten what it promised.

        Args:
            file: what `export` wrote; one in which any byte is wrong is turned down
            folder: an empty or absent one
        """
        return DeferredCommand(lambda: print_results([folders().import_file(str(file), str(folder))]))

    def version(self) -> DeferredCommand:
        """Print the version."""
        return DeferredCommand(lambda: print_results([Success(f"vetchusher {__version__}")]))


setattr(Commands, "import", Commands._import)  # no name that a method could be given


def main(argv: Sequence[str]) -> int:
    found = fire.Fire(
        Commands,
        command=list(argv),
        name="vetchusher.node",
        serialize=lambda r: None if type(r) is DeferredCommand else r,
    )
    return found._do() if isinstance(found, DeferredCommand) else 0


def folders() -> Any:
    """What looks into stores; not loaded for anything else."""
    from . import data_folders

    return data_folders


def check(settings: str, configuration: str, data: str) -> int:
    asked = (
        (settings, check_settings),
        (configuration, check_configuration),
        (data, lambda folder: folders().checked(folder)),
    )
    lines = [look(path) for path, look in asked if path]
    return print_results(lines or [failure("nothing to check: give --settings, --configuration or --data")])


def print_results(lines: Sequence[Result[str, Error]]) -> int:
    """Good lines to standard output, others to standard error; the code of both."""
    for line in lines:
        if isinstance(line, Failure):
            print(f"vetchusher: {line.failure().text}", file=sys.stderr)
        else:
            print(line.unwrap())
    return EXIT_UNUSABLE if any(isinstance(line, Failure) for line in lines) else 0


def failure(text: str, kind: ErrorCode = ErrorCode.INVALID_SETTINGS) -> Result[str, Error]:
    return Failure(Error(kind, text))


def check_settings(path: str) -> Result[str, Error]:
    return read_node(path).map(lambda node: f"{path}: {describe_settings(node)}")


def describe_settings(node: NodeSettings) -> str:
    doors = {name: getattr(node.listen, name) for name in ("front", "ready", "control", "directory")}
    at = " ".join(f"{name}={a[0]}:{a[1]}" for name, a in doors.items() if a is not None)
    store = node.data_directory or "nothing"
    return f"{node.node_name} in {node.zone} ({node.region}) serves {at or 'nobody'}; keeps {store}"


def check_configuration(path: str) -> Result[str, Error]:
    from vetchusher.settings.configuration import read_configuration

    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        return failure(f"{path}: {err.strerror}")
    return (
        read_configuration(raw)
        .map(
            lambda c: (
                f"{path}: r{c.version}: {len(c.routes)} routes, {len(c.services)} services, "
                f"{len(c.tenants)} tenants"
            )
        )
        .alt(lambda fault: Error(fault.code, f"{path}: {fault.text}"))
    )
