"""Exception hierarchy of the project."""

from fulmarrouter import codes


class FulmarError(Exception):
    """Base of every error that the project raises."""

    exit_code = codes.ExitCode.TASK_FAILED


class SettingsError(FulmarError):
    """The settings are invalid.

    Attributes:
        problems: One line for each problem found.
    """

    exit_code = codes.ExitCode.SETTINGS_INVALID

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StorageError(FulmarError):
    """A write or sync in the data folder failed.

    Nothing may be acknowledged as stored after that.
    """

    exit_code = codes.ExitCode.STORAGE_FAILED


class CorruptStorageError(StorageError):
    """Stored records are damaged before the end of the log."""

    exit_code = codes.ExitCode.STORAGE_CORRUPT


class WireError(FulmarError):
    """A frame received from another process violates the protocol."""


class AddressError(FulmarError):
    """A listening address can't be bound."""

    exit_code = codes.ExitCode.ADDRESS_UNAVAILABLE


class UnreachableError(FulmarError):
    """No process answered at the address given."""

    exit_code = codes.ExitCode.UNREACHABLE


class RequestError(FulmarError):
    """A request that is answered with a result code.

    Attributes:
        code: The result code.
        reason: Explanation for the caller; may be empty.
    """

    exit_code = codes.ExitCode.COMMAND_REFUSED

    def __init__(self, code: codes.Code, reason: str = "") -> None:
        super().__init__(reason or code.name)
        self.code = code
        self.reason = reason
