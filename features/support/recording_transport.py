"""A fake of the transport through which a gateway sends requests."""

from fulmarrouter import ids
from fulmarrouter.cluster import gateway
from fulmarrouter.cluster import requests


class RecordingTransport:
    """Records the requests that a gateway sends, and answers none."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ids.CallId, requests.AnyRequest]] = []
        self.retries: list[gateway.RetryReason] = []

    def send_request(
        self, address: str, call: ids.CallId, request: requests.AnyRequest
    ) -> bool:
        self.sent.append((address, call, request))
        return True

    def seconds_to_send(self) -> float:
        return 0.0

    def drop_peer(self, address: str, reason: str) -> None:
        del address, reason

    def count_retry(self, reason: gateway.RetryReason) -> None:
        self.retries.append(reason)
