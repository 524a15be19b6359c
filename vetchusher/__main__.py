"""`python -m vetchusher`: the ingress and its helpers."""

import os
import sys

# The HTTP library loads the system's certificates when it is imported: a quarter of the CPU of a start, for
# connections that this program never makes.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

from vetchusher.net.cli import main  # after the settings above

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
