"""Runs the program with `python -m fulmarrouter`."""

import sys

from fulmarrouter import main

sys.exit(main.main())
