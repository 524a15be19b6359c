#!/bin/sh
# Exit code: 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common" exec python3 review/3/case.py
