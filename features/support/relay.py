"""A TCP relay that can stop forwarding without closing its connections."""

import contextlib
import socket
import threading


class Relay:
    """Forwards TCP connections to a port of the loopback address."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self._silent_connections: set[int] = set()
        self._open_connections: set[int] = set()
        self._stopped = False
        self._last_connection = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self) -> None:
        """Stops forwarding on all open connections, without closing them.

        Later connections are forwarded.
        """
        self._silent_connections |= self._open_connections

    def stop(self) -> None:
        self._stopped = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopped:
            try:
                client_socket, _ = self._listener.accept()
                server_socket = socket.create_connection(
                    ("127.0.0.1", self.target_port)
                )
            except OSError:
                return
            self._last_connection += 1
            self._open_connections.add(self._last_connection)
            for source, target in (
                (client_socket, server_socket),
                (server_socket, client_socket),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(self._last_connection, source, target),
                    daemon=True,
                ).start()

    def _forward(
        self,
        connection_number: int,
        source: socket.socket,
        target: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if connection_number in self._silent_connections:
                    # Drops the data and keeps the connection open, like a
                    # network that has lost the connection's flow entry.
                    continue
                target.sendall(data)
        if connection_number not in self._silent_connections:
            self._open_connections.discard(connection_number)
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)
