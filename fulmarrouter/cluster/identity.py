"""The identity under which a keeper votes; it is lost with the disk."""

import pathlib
import secrets

from fulmarrouter import durable_files
from fulmarrouter import errors

FILE_NAME = "keeper-id"


def load_or_create(folder: pathlib.Path) -> str:
    """Returns the identity stored in a data folder, creating it if needed.

    Raises:
        StorageError: The folder can't be read or written.
    """
    path = folder / FILE_NAME
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if path.exists():
            stored = path.read_text(encoding="ascii").strip()
            if stored:
                return stored
        keeper_id = "k" + secrets.token_hex(8)
        durable_files.replace(path, keeper_id.encode("ascii"))
        return keeper_id
    except OSError as error:
        raise errors.StorageError(f"{folder}: {error}") from error
