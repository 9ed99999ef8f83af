"""Writes files so that they are kept, as a whole, through a loss of power."""

import os
import pathlib


def replace(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file atomically and durably, or creates it.

    Raises:
        OSError: The folder can't be written.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the names of files in a folder durable.

    Raises:
        OSError: The folder can't be synced.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
