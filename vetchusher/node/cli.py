"""The command line `python3 -m vetchusher.node`: run a process, check its files, inspect its data folder.

Exit codes: 0: success; 1: the process could not serve; 2: the arguments, or a file that they name, cannot be
used.
"""

from __future__ import annotations

import os
import pathlib
import sys
from collections.abc import Callable, Sequence

import fire  # type: ignore[import-untyped]
from returns.result import Failure, Result, Success

from vetchusher import __version__
from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.node import NodeSettings, read_node_settings

from .start import EXIT_UNUSABLE, SETTINGS_VARIABLE, start

HELP_FLAGS = ("--help", "-h")


class DeferredCommand:
    """A command that was parsed but has not run yet.

    Fire calls a command before it has parsed the rest of the line. Without this, a misspelt flag would be
    rejected only after the process has ended.
    """

    __slots__ = ("_do",)

    def __init__(self, do: Callable[[], int]) -> None:
        """Store the function that runs the command and returns its exit code."""
        self._do = do


class Commands:
    """One process of the system on this machine."""

    def run(self, config: str = "", metrics: str = "") -> DeferredCommand:
        """Run a process in the foreground until SIGTERM; SIGHUP reloads its settings.

        Args:
            config: the settings file; by default the one that $VETCHUSHER_CONFIG names
            metrics: PORT/PATH at which metrics are served on this machine's address, such as 9464/metrics
        """
        path = str(config) or os.environ.get(SETTINGS_VARIABLE, "")
        return DeferredCommand(lambda: start(path, str(metrics)))

    def check(self, settings: str = "", configuration: str = "", data: str = "") -> DeferredCommand:
        """Print one line on the contents of each file or folder, or on what is wrong with it (exit code 2).

        Args:
            settings: a settings file, as written by the platform
            configuration: an operator's configuration, as sent to the API
            data: a data folder; it is not changed
        """
        return DeferredCommand(lambda: check(str(settings), str(configuration), str(data)))

    def inspect(self, folder: str) -> DeferredCommand:
        """Print the contents of a data folder as JSON; the folder is not changed.

        Args:
            folder: the data_directory of a process that is not running
        """
        return DeferredCommand(lambda: print_results([inspect_folder(str(folder))]))

    def export(self, folder: str, file: str) -> DeferredCommand:
        """Write the contents of a data folder to a new file, from which `import` creates a folder.

        Args:
            folder: the data_directory of a process that is not running; it is not changed
            file: the file to create; it must not exist
        """
        return DeferredCommand(lambda: print_results([export_folder(str(folder), str(file))]))

    def _import(self, file: str, folder: str) -> DeferredCommand:
        """Create a data folder from an exported file, for a machine that has lost its own and so its votes.

        Args:
            file: a file that `export` wrote; a corrupted file is rejected
            folder: the folder to create; it must be absent or empty
        """
        return DeferredCommand(lambda: print_results([import_file(str(file), str(folder))]))

    def version(self) -> DeferredCommand:
        """Print the version of the program."""
        return DeferredCommand(lambda: print_results([Success(f"vetchusher {__version__}")]))


setattr(
    Commands, "import", Commands._import
)  # `import` is a keyword, so no method can be defined by this name


def main(argv: Sequence[str]) -> int:
    """Run one command; return its exit code."""
    # For a help flag alone, fire prints a synopsis without the commands; without arguments it lists them.
    command = [] if list(argv) in ([flag] for flag in HELP_FLAGS) else list(argv)
    found = fire.Fire(
        Commands,
        command=command,
        name="vetchusher.node",
        serialize=lambda r: None if type(r) is DeferredCommand else r,
    )
    return found._do() if isinstance(found, DeferredCommand) else 0


def inspect_folder(folder: str) -> Result[str, Error]:
    """Return the contents of a data folder as JSON.

    `data_folders` is imported here because no other command needs it.
    """
    from . import data_folders

    return data_folders.inspect_folder(folder)


def check_folder(folder: str) -> Result[str, Error]:
    """Return a line on the contents of a data folder."""
    from . import data_folders

    return data_folders.check_folder(folder)


def export_folder(folder: str, file: str) -> Result[str, Error]:
    """Write the contents of a data folder to a new file."""
    from . import data_folders

    return data_folders.export_folder(folder, file)


def import_file(file: str, folder: str) -> Result[str, Error]:
    """Create a data folder from an exported file."""
    from . import data_folders

    return data_folders.import_file(file, folder)


def check(settings: str, configuration: str, data: str) -> int:
    """Check the files and folders that are named, print a line on each, and return the exit code."""
    requested = (
        (settings, check_settings),
        (configuration, check_configuration),
        (data, check_folder),
    )
    lines = [check_path(path) for path, check_path in requested if path]
    return print_results(lines or [failure("nothing to check: give --settings, --configuration or --data")])


def print_results(lines: Sequence[Result[str, Error]]) -> int:
    """Print results to standard output and errors to standard error; return the exit code."""
    for line in lines:
        if isinstance(line, Failure):
            print(f"vetchusher: {line.failure().text}", file=sys.stderr)
        else:
            print(line.unwrap())
    return EXIT_UNUSABLE if any(isinstance(line, Failure) for line in lines) else 0


def failure(text: str, kind: ErrorCode = ErrorCode.INVALID_SETTINGS) -> Result[str, Error]:
    """Return a failure with a one-line message."""
    return Failure(Error(kind, text))


def check_settings(path: str) -> Result[str, Error]:
    """Return a line on a settings file, or its error."""
    return read_node_settings(path).map(lambda node: f"{path}: {describe_settings(node)}")


def describe_settings(node: NodeSettings) -> str:
    """Return a line on a process's place, its listeners, and its data folder."""
    listeners = {name: getattr(node.listen, name) for name in ("front", "ready", "control", "directory")}
    at = " ".join(f"{name}={a[0]}:{a[1]}" for name, a in listeners.items() if a is not None)
    store = node.data_directory or "nothing"
    return f"{node.node_name} in {node.zone} ({node.region}) serves {at or 'nobody'}; keeps {store}"


def check_configuration(path: str) -> Result[str, Error]:
    """Return a report on an operator's configuration, or its error."""
    from vetchusher.settings.configuration import read_configuration

    from .configuration_report import describe_configuration

    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        return failure(f"{path}: {err.strerror}")
    return (
        read_configuration(raw)
        .map(lambda configuration: f"{path}: {describe_configuration(configuration)}")
        .alt(lambda fault: Error(fault.code, f"{path}: {fault.text}"))
    )
