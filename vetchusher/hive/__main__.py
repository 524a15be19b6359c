"""`python3 -m vetchusher.hive`: one process of the system."""

import os
import sys

# The HTTP library would load the system's certificates (see vetchusher/__main__.py).
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

from vetchusher.hive.cli import main  # noqa: E402 - after the settings above

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
