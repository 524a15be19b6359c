"""The command line, `python3 -m vetchusher.node`: run a process, check its files, look into its store.

Exit codes: 0 done; 1 it could not serve; 2 the call, or a file that it names, cannot be used.
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
from vetchusher.settings.node import NodeSettings, read_node

from .start import EXIT_UNUSABLE, SETTINGS_VARIABLE, start

HELP_FLAGS = ("--help", "-h")


class DeferredCommand:
    """A command that was parsed and not yet run.

    Fire calls a command before it has looked at the rest of the line; a misspelt flag would be rejected only
    when the process ends.
    """

    __slots__ = ("_do",)

    def __init__(self, do: Callable[[], int]) -> None:
        """Keep what is to be run."""
        self._do = do


class Commands:
    """One process of the system on this machine."""

    def run(self, config: str = "", metrics: str = "") -> DeferredCommand:
        """Run it in the foreground until SIGTERM; SIGHUP reads the settings again.

        Args:
            config: the settings file; without it the one that $VETCHUSHER_CONFIG names
            metrics: PORT/PATH at this machine's address at which metrics are read, such as 9464/metrics
        """
        path = str(config) or os.environ.get(SETTINGS_VARIABLE, "")
        return DeferredCommand(lambda: start(path, str(metrics)))

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
        return DeferredCommand(lambda: print_results([inspect_folder(str(folder))]))

    def export(self, folder: str, file: str) -> DeferredCommand:
        """Write what a data folder holds into one new file, from which `import` makes a folder.

        Args:
            folder: the data_directory of a process that does not run now; it is not changed
            file: a file that does not exist yet
        """
        return DeferredCommand(lambda: print_results([export_folder(str(folder), str(file))]))

    def _import(self, file: str, folder: str) -> DeferredCommand:
        """Make a data folder of an exported file, for a machine that has forgotten what it promised.

        Args:
            file: what `export` wrote; one in which any byte is wrong is turned down
            folder: an empty or absent one
        """
        return DeferredCommand(lambda: print_results([import_file(str(file), str(folder))]))

    def version(self) -> DeferredCommand:
        """Print the version."""
        return DeferredCommand(lambda: print_results([Success(f"vetchusher {__version__}")]))


setattr(Commands, "import", Commands._import)  # no name that a method could be given


def main(argv: Sequence[str]) -> int:
    """Run one command; return its exit code."""
    # Of the flag alone fire shows a synopsis without the commands; without any argument it lists them.
    command = [] if list(argv) in ([flag] for flag in HELP_FLAGS) else list(argv)
    found = fire.Fire(
        Commands,
        command=command,
        name="vetchusher.node",
        serialize=lambda r: None if type(r) is DeferredCommand else r,
    )
    return found._do() if isinstance(found, DeferredCommand) else 0


def inspect_folder(folder: str) -> Result[str, Error]:
    """Return what a data folder holds; what looks into stores is not loaded for anything else."""
    from . import data_folders

    return data_folders.inspect_folder(folder)


def check_folder(folder: str) -> Result[str, Error]:
    """Return a line on what a data folder holds."""
    from . import data_folders

    return data_folders.check_folder(folder)


def export_folder(folder: str, file: str) -> Result[str, Error]:
    """Write what a data folder holds into one new file."""
    from . import data_folders

    return data_folders.export_folder(folder, file)


def import_file(file: str, folder: str) -> Result[str, Error]:
    """Make a new data folder of an exported file."""
    from . import data_folders

    return data_folders.import_file(file, folder)


def check(settings: str, configuration: str, data: str) -> int:
    """Check the files that are named, each in a line."""
    requested = (
        (settings, check_settings),
        (configuration, check_configuration),
        (data, check_folder),
    )
    lines = [look(path) for path, look in requested if path]
    return print_results(lines or [failure("nothing to check: give --settings, --configuration or --data")])


def print_results(lines: Sequence[Result[str, Error]]) -> int:
    """Print good lines to standard output, others to standard error; return the exit code of both."""
    for line in lines:
        if isinstance(line, Failure):
            print(f"vetchusher: {line.failure().text}", file=sys.stderr)
        else:
            print(line.unwrap())
    return EXIT_UNUSABLE if any(isinstance(line, Failure) for line in lines) else 0


def failure(text: str, kind: ErrorCode = ErrorCode.INVALID_SETTINGS) -> Result[str, Error]:
    """Return a failure of one line."""
    return Failure(Error(kind, text))


def check_settings(path: str) -> Result[str, Error]:
    """Check a settings file."""
    return read_node(path).map(lambda node: f"{path}: {describe_settings(node)}")


def describe_settings(node: NodeSettings) -> str:
    """Return a line on what the settings make a process do."""
    listeners = {name: getattr(node.listen, name) for name in ("front", "ready", "control", "directory")}
    at = " ".join(f"{name}={a[0]}:{a[1]}" for name, a in listeners.items() if a is not None)
    store = node.data_directory or "nothing"
    return f"{node.node_name} in {node.zone} ({node.region}) serves {at or 'nobody'}; keeps {store}"


def check_configuration(path: str) -> Result[str, Error]:
    """Check an operator's configuration."""
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
