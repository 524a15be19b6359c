"""`python -m vetchusher`: the ingress and its helpers."""

import sys

from vetchusher.net.cli import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
