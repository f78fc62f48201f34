"""Where the admin socket lies if nobody says: in a folder that only its owner can enter."""

from __future__ import annotations

import os
import stat
from collections.abc import Mapping
from pathlib import Path

VARIABLE = "BADGERGAP_SOCKET"
# A Unix socket's path has a fixed place in the kernel's structure: 108 bytes with the final zero.
PATH_LIMIT = 107


def default_socket(environ: Mapping[str, str]) -> Path:
    """$BADGERGAP_SOCKET, else badgergap.sock in the user's run-time folder, else in a temporary one."""
    if environ.get(VARIABLE):
        return Path(environ[VARIABLE])
    runtime = environ.get("XDG_RUNTIME_DIR")
    if runtime and Path(runtime).is_dir():
        return Path(runtime) / "badgergap.sock"
    temporary = environ.get("TMPDIR") or "/tmp"
    return Path(temporary) / f"badgergap-{os.getuid()}" / "admin.sock"


def prepare_folder(path: Path) -> None:
    """Make the folder of a socket. Raises OSError where another user could put something in the way."""
    folder = path.parent
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    found = folder.stat()
    others = found.st_mode & (stat.S_IWGRP | stat.S_IWOTH) and not found.st_mode & stat.S_ISVTX
    if found.st_uid not in (os.getuid(), 0) or others:
        raise PermissionError(None, f"{folder} can be written to by others")
