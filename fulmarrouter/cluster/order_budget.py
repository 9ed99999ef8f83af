"""Bounds the size of the answer to a worker's report.

A worker can be assigned thousands of runs, and each start carries its job's
payload. An answer is sent as one frame between processes and read by the worker
as a whole, within a second. Orders beyond the bound are sent with the next
answers.
"""

from fulmarrouter.cluster import requests

# Size of the orders in one answer, not counting JSON escapes. Half a second on
# the link of a VM with 2 Mbit/s.
MAX_ORDER_BYTES = 128 << 10
# Bytes of an order in addition to its strings.
ORDER_OVERHEAD_BYTES = 24


class OrderBudget:
    """Bytes that are left for orders in one answer.

    Attributes:
        has_deferred: Whether an order had to be left for a later answer.
    """

    def __init__(self) -> None:
        self.has_deferred = False
        self._remaining_bytes = MAX_ORDER_BYTES

    def admits(self, order: requests.StartOrder | requests.StopOrder) -> bool:
        """Takes an order's bytes; returns whether it may be sent now.

        The last order may exceed the budget, so that one that is larger than the
        budget is sent too.
        """
        if self._remaining_bytes <= 0:
            self.has_deferred = True
            return False
        size = ORDER_OVERHEAD_BYTES + len(order.task)
        if isinstance(order, requests.StartOrder):
            size += len(order.payload.encode()) + len(order.checkpoint)
        self._remaining_bytes -= size
        return True
