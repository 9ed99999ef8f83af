"""Distinct types for identifiers, so that mypy reports one used for another."""

from typing import NewType

CallId = NewType("CallId", int)
ConnectionId = NewType("ConnectionId", int)
RequestKey = NewType("RequestKey", str)
ServiceName = NewType("ServiceName", str)
SessionId = NewType("SessionId", int)
