"""Entry point of a process of the system: `python3 -m vetchusher.node`."""

import gc
import os
import signal
import sys

# Objects created during start-up stay alive; collecting garbage among them takes a tenth of that time.
gc.disable()

# Without this, the HTTP library loads the system's certificates at import (see vetchusher/__main__.py).
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)


def prepare_signals() -> None:
    """Handle signals that arrive during start-up, until the process installs its own handlers.

    SIGHUP is ignored: the settings are read after this point anyway. SIGTERM ends the process with exit
    code 0: it has not accepted anything yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main(argv: list[str]) -> int:
    """Run one command; return its exit code.

    The platform restarts processes with `run` alone. That case bypasses the command-line library, whose
    import takes a seventh of the start-up time.
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
