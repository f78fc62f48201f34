"""Steers `inject.c`, a preloaded library that makes system calls fail: built here, told by a file.

with Injector(folder, seed=7) as injector:
    process = start(env=injector.environ())
    injector.set(Call.ACCEPT, errno.ENFILE, probability=0.3)
    injector.clear()
    print(injector.injected())
"""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path
from types import TracebackType

SOURCE = Path(__file__).with_name("inject.c")
RANDOM = struct.Struct("=Q")
FAULT = struct.Struct("=iIqqq")  # as `struct fault`
WALL_STEP = struct.Struct("=q")
UNBOUNDED = -1


class Call(IntEnum):
    """Kinds of calls that can fail, as `enum call` in the library."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    READ = 3
    WRITE = 4
    WAIT = 5
    SHORT_READ = 6  # fewer bytes than asked for; any errno switches it on
    SHORT_WRITE = 7


class CompilerMissingError(RuntimeError):
    """The machine has no C compiler: nothing can be injected, and nothing may pass for it."""


def build(folder: Path) -> Path:
    """Compile the library into a folder; return its path. Raises CompilerMissingError, CalledProcessError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise CompilerMissingError("no C compiler for the fault injector: install gcc")
    library = folder / "inject.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class Injector:
    """The faults of one process, or of several that share them. A context; its files stay in `folder`."""

    def __init__(self, folder: Path, seed: int) -> None:
        """`seed`: of the library's draws."""
        self.library = build(folder)
        self.file = folder / "faults.bin"
        faults = FAULT.pack(0, 0, UNBOUNDED, 0, 0) * len(Call)
        self.file.write_bytes(RANDOM.pack(2 * seed + 1) + faults + WALL_STEP.pack(0))
        with self.file.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), 0)

    def __enter__(self) -> Injector:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._memory.close()

    def environ(self) -> dict[str, str]:
        """What a process needs in its environment to have these faults."""
        return {"LD_PRELOAD": str(self.library), "BADGERGAP_FAULTS": str(self.file)}

    def set(self, call: Call, error: int, probability: float = 1.0, count: int = UNBOUNDED) -> None:
        """From now on a call fails with this errno and probability, `count` times at the most."""
        offset = self._offset(call)
        _, _, _, injected, last_us = FAULT.unpack_from(self._memory, offset)
        FAULT.pack_into(self._memory, offset, error, int(probability * 1e6), count, injected, last_us)

    def clear(self) -> None:
        """Nothing fails any more."""
        for call in Call:
            self.set(call, 0)

    def step_wall_clock(self, seconds: float) -> None:
        """From now on the wall clock is so far ahead of the true one; the monotonic one runs on."""
        WALL_STEP.pack_into(self._memory, RANDOM.size + FAULT.size * len(Call), int(seconds * 1e6))

    def injected(self) -> dict[Call, int]:
        """How many calls have failed so far, of those that have."""
        counts = {call: FAULT.unpack_from(self._memory, self._offset(call))[3] for call in Call}
        return {call: count for call, count in counts.items() if count}

    @staticmethod
    def _offset(call: Call) -> int:
        return RANDOM.size + call * FAULT.size
