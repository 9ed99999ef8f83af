"""Runs the program with `python -m fulmarrouter`."""

from fulmarrouter import main

main.run_main()
