"""Numbered result codes, each in exactly one class, and exit codes."""

import enum


class CodeClass(enum.Enum):
    """What a result code says about its request."""

    DONE = 1
    NOT_RUN = 2
    UNKNOWN = 3
    REFUSED = 4


class Code(enum.IntEnum):
    """Result codes; the thousands digit is the class. See docs/CODES.md."""

    DONE = 1000
    ACCEPTED = 1001
    REPEATED = 1002

    DRAINING = 2001
    OVERLOADED = 2002
    DEADLINE_PASSED = 2003
    NO_ENDPOINT = 2004
    CONFIG_LEASE_EXPIRED = 2005
    LEDGER_UNAVAILABLE = 2006
    CONNECT_FAILED = 2007
    UNKNOWN_SERVICE = 2008
    KEY_REUSED = 2010
    BODY_TOO_LARGE = 2011
    BAD_REQUEST = 2012
    METHOD_NOT_ALLOWED = 2013
    NOT_FOUND = 2014
    KEEPER_UNAVAILABLE = 2015
    CALLER_SHARE_EXCEEDED = 2016
    NO_CONFIGURATION = 2017
    QUORUM_INCOMPLETE = 2018
    NO_SUCH_QUEUE = 2019

    ENDPOINT_TIMEOUT = 3001
    CONNECTION_LOST = 3002
    PARTIAL_ANSWER = 3003
    IN_PROGRESS = 3004
    OUTCOME_UNKNOWN = 3005
    ANSWER_MISMATCH = 3006
    ANSWER_NOT_KEPT = 3007
    PROPOSAL_UNKNOWN = 3008
    ATTEMPT_NOT_SENT = 3009

    NUMBER_TAKEN = 4001
    NUMBER_SUPERSEDED = 4002
    NUMBER_TOO_OLD = 4003
    INVALID = 4004
    NO_SUCH_OBJECT = 4005
    NEVER_FITS = 4006
    STALE_INCARNATION = 4007
    STALE_EPOCH = 4008
    OVER_CAPACITY = 4009
    OVER_QUOTA = 4010
    WRONG_PHASE = 4011
    NOT_LEADER = 4012
    NONCE_SPENT = 4013
    NOT_EVICTABLE = 4014
    SESSION_ENDED = 4015
    NO_SUCH_JOB = 4016

    @property
    def code_class(self) -> CodeClass:
        """Class of the code, given by its thousands digit."""
        return CodeClass(self.value // 1000)


HTTP_STATUS_BY_CODE: dict[Code, int] = {
    Code.DONE: 200,
    Code.ACCEPTED: 200,
    Code.REPEATED: 200,
    Code.OVERLOADED: 503,
    Code.DEADLINE_PASSED: 503,
    Code.KEY_REUSED: 409,
    Code.BODY_TOO_LARGE: 413,
    Code.BAD_REQUEST: 400,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.NOT_FOUND: 404,
    Code.NO_SUCH_QUEUE: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.CALLER_SHARE_EXCEEDED: 429,
    Code.ENDPOINT_TIMEOUT: 504,
    Code.CONNECTION_LOST: 502,
    Code.PARTIAL_ANSWER: 502,
    Code.ANSWER_MISMATCH: 502,
    Code.IN_PROGRESS: 409,
    Code.ATTEMPT_NOT_SENT: 503,
    Code.OUTCOME_UNKNOWN: 409,
    Code.ANSWER_NOT_KEPT: 409,
    Code.PROPOSAL_UNKNOWN: 504,
    Code.NO_SUCH_OBJECT: 404,
    Code.NO_SUCH_JOB: 410,
    Code.INVALID: 400,
}

HTTP_STATUS_BY_CLASS: dict[CodeClass, int] = {
    CodeClass.DONE: 200,
    CodeClass.NOT_RUN: 503,
    CodeClass.UNKNOWN: 504,
    CodeClass.REFUSED: 409,
}


def http_status(code: Code) -> int:
    """Returns the HTTP status for a result code."""
    return HTTP_STATUS_BY_CODE.get(code, HTTP_STATUS_BY_CLASS[code.code_class])


class ExitCode(enum.IntEnum):
    """Exit codes of the program. See docs/CODES.md."""

    OK = 0
    COMMAND_REFUSED = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    STORAGE_FAILED = 4
    STORAGE_CORRUPT = 5
    ADDRESS_UNAVAILABLE = 6
    UNREACHABLE = 7
    TASK_FAILED = 8
