#!/bin/sh
# Checks that the stand-ins of the scripts can be imported after the build of deploy/system.toml; they need no other build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common" python3 -c "import rig, server"
