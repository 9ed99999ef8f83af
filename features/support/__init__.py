"""Helpers of the tests: stand-ins for endpoints and workers, processes."""
