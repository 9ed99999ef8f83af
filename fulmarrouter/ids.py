"""Identifier types used in messages, state and settings."""

from typing import NewType

KeeperId = NewType("KeeperId", str)
EntryId = NewType("EntryId", str)
WorkerId = NewType("WorkerId", str)
EndpointId = NewType("EndpointId", str)
JobId = NewType("JobId", str)
TeamId = NewType("TeamId", str)
ServiceName = NewType("ServiceName", str)
RequestKey = NewType("RequestKey", str)
Nonce = NewType("Nonce", str)
DomainName = NewType("DomainName", str)
RackName = NewType("RackName", str)

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
Epoch = NewType("Epoch", int)
Incarnation = NewType("Incarnation", int)
SessionId = NewType("SessionId", int)
TicketNumber = NewType("TicketNumber", int)
CheckpointSeq = NewType("CheckpointSeq", int)
