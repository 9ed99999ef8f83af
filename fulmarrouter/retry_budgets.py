"""Retry budget: limits retries to a fraction of the first attempts."""

import dataclasses

# Limits the retries that can be saved up for a burst.
MAX_TOKENS = 10.0
# Allows retries before first attempts have earned any.
INITIAL_TOKENS = 2.0


@dataclasses.dataclass
class RetryBudget:
    """Token bucket filled by first attempts; a retry takes one token."""

    tokens: float = INITIAL_TOKENS

    def deposit(self, retry_percent: int) -> None:
        """Adds the fraction of a token that one first attempt earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + retry_percent / 100.0)

    def try_withdraw(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
