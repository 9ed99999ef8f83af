#!/bin/sh
# The stand-ins are Python files without dependencies, so there is nothing to
# build beyond the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q support
