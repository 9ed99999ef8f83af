"""Retry budget: retries are a bounded share of first tries."""

import dataclasses

MAX_TOKENS = 10.0
INITIAL_TOKENS = 2.0


@dataclasses.dataclass
class RetryBudget:
    """Tokens earned by first tries and spent by retries."""

    tokens: float = INITIAL_TOKENS

    def deposit(self, retry_percent: int) -> None:
        """Earns the share of a retry that one first try allows."""
        self.tokens = min(MAX_TOKENS, self.tokens + retry_percent / 100.0)

    def try_withdraw(self) -> bool:
        """Spends one retry; False where the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
