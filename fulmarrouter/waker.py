"""Wakes a thread that waits in its selector."""

import selectors
import socket
from typing import Any

READ_BYTES = 4096


class Waker:
    """Lets any thread or signal handler wake a thread blocked in a selector.

    Uses a socket pair whose reading end is registered with the selector.

    Args:
        selector: Selector that the owning thread waits in.
        data: Data of the selector key for the reading end.
    """

    def __init__(self, selector: selectors.BaseSelector, data: Any) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        selector.register(self._reader, selectors.EVENT_READ, data)

    def wake(self) -> None:
        """Makes the pending or next `select` return."""
        try:
            self._writer.send(b"\0")
        except OSError:
            # The socket's buffer is full, so the thread will wake up anyway.
            return

    def clear(self) -> None:
        """Discards pending wake-ups; called by the owning thread."""
        try:
            while self._reader.recv(READ_BYTES):
                continue
        except BlockingIOError:
            return

    def close(self) -> None:
        """Closes the sockets."""
        self._reader.close()
        self._writer.close()
