"""One process of the system: `python3 -m vetchusher.node`."""

import gc
import os
import signal
import sys

# What is loaded at a start stays: looking for garbage in it meanwhile is a tenth of the start.
gc.disable()

# The HTTP library would load the system's certificates (see vetchusher/__main__.py).
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)


def prepare_signals() -> None:
    """Bear signals that come during the start, until the process has handlers of its own.

    A SIGHUP says that the settings have changed: they are read from now on anyway.  A SIGTERM ends a process
    that has taken nothing yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main(argv: list[str]) -> int:
    """Run the command line.

    The platform's own call, `run` alone, is what restarts are made of: it goes round the command line's
    library, a seventh of a start.
    """
    if argv[:1] == ["run"]:
        prepare_signals()
    if argv == ["run"]:
        from .start import start

        return start(os.environ.get("VETCHUSHER_CONFIG", ""))
    from .cli import main

    gc.enable()
    return main(argv)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
