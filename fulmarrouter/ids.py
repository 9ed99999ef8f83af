"""Identifier types that must not be mixed up where several are at hand."""

from typing import NewType

CallId = NewType("CallId", int)
ConnectionId = NewType("ConnectionId", int)
RequestKey = NewType("RequestKey", str)
ServiceName = NewType("ServiceName", str)
SessionId = NewType("SessionId", int)
