"""A small forwarding stand-in: it can go silent on the connections it has."""

import contextlib
import socket
import threading


class Relay:
    """Forwards TCP connections to one port."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._silent: set[int] = set()
        self._open: set[int] = set()
        self._stopped = False
        self._number = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open(self) -> None:
        """Forwards nothing more on the connections that are open now."""
        self._silent |= self._open

    def stop(self) -> None:
        self._stopped = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopped:
            try:
                inner, _ = self._listener.accept()
                outer = socket.create_connection(
                    ("127.0.0.1", self.target_port)
                )
            except OSError:
                return
            self._number += 1
            self._open.add(self._number)
            for source, target in ((inner, outer), (outer, inner)):
                threading.Thread(
                    target=self._forward,
                    args=(self._number, source, target),
                    daemon=True,
                ).start()

    def _forward(
        self, number: int, source: socket.socket, target: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number in self._silent:
                    # Neither forwards nor closes, like a lost flow entry.
                    continue
                target.sendall(data)
        if number not in self._silent:
            self._open.discard(number)
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)
