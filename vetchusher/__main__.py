"""Entry point of `python -m vetchusher`."""

import os
import sys

# aiohttp loads the system's certificates when it is imported. That is a quarter of the CPU time of a start,
# for TLS
# connections that this program never makes.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

from vetchusher.net.cli import main  # after the settings above

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
