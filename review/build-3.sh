#!/bin/sh
# Builds the stand-ins of review/11 to review/15. They need only the standard library;
# the project's own processes use what the build command of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo "run the build command of deploy/system.toml first" >&2
    exit 1
}
python3 -m compileall -q review/support_3
