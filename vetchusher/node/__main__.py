"""One process of the system: `python3 -m vetchusher.node`."""

import gc
import os
import sys

# What is loaded at a start stays: looking for garbage in it meanwhile is a tenth of the start.
gc.disable()

# The HTTP library would load the system's certificates (see vetchusher/__main__.py).
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)


def main(argv: list[str]) -> int:
    """Run the command line.

    The platform's own call, `run` alone, is what restarts are made of: it goes round the command line's
    library, a seventh of a start.
    """
    if argv == ["run"]:
        from .start import start

        return start(os.environ.get("VETCHUSHER_CONFIG", ""))
    from .cli import main

    gc.enable()
    return main(argv)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
