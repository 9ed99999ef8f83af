"""Helpers of the tests: fake endpoints and workers, simulations, processes."""
