"""Wakes a thread that waits in its selector."""

import selectors
import socket
from typing import Any

READ_BYTES = 4096


class Waker:
    """A socket in a selector that any thread or signal handler can make ready.

    Args:
        selector: Selector that the owning thread waits in.
        data: What the selector reports with it.
    """

    def __init__(self, selector: selectors.BaseSelector, data: Any) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        selector.register(self._reader, selectors.EVENT_READ, data)

    def wake(self) -> None:
        """Makes the selector return."""
        try:
            self._writer.send(b"\0")
        except OSError:
            # The pipe is full, so the thread will wake anyway.
            return

    def clear(self) -> None:
        """Takes back what `wake` has done; called by the owning thread."""
        try:
            while self._reader.recv(READ_BYTES):
                continue
        except BlockingIOError:
            return

    def close(self) -> None:
        """Closes the sockets."""
        self._reader.close()
        self._writer.close()
