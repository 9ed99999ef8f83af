#!/bin/sh
# Builds the stand-ins of the cases 8 to 10, which are Python without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q support2 8 9 10
