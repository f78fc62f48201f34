"""Does a Raft library keep an agreed entry when a member's folder is wiped? PySyncObj, three members.

    pip install '.[probe]' && python -m benchmarks.library_probe

A and B agree on entries while C is down; B is killed and its journal removed; A is killed; B and C start.
A library that lets B vote as who it was elects a leader that lacks what was agreed. Prints what B and C
then hold.
"""

from __future__ import annotations

import argparse
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ENTRIES = 20


def member(number: int, ports: list[int], folder: Path, adds: int) -> None:
    """One process: adds entries if told so, then says how many it holds, and who leads."""
    from pysyncobj import SyncObj, SyncObjConf, replicated

    class Counter(SyncObj):  # type: ignore[misc]
        def __init__(self) -> None:
            self.count = 0
            addresses = [f"127.0.0.1:{port}" for port in ports]
            own = addresses.pop(number)
            folder.mkdir(exist_ok=True)
            conf = SyncObjConf(journalFile=str(folder / "journal"), dynamicMembershipChange=False)
            super().__init__(own, addresses, conf)

        @replicated  # type: ignore[misc]
        def add(self) -> int:
            self.count += 1
            return self.count

    it = Counter()
    while not it.isReady():
        time.sleep(0.05)
    for _ in range(adds):
        it.add(sync=True, timeout=5.0)
    while True:
        print(f"holds {it.count}, leader {it._getLeader()}", flush=True)
        time.sleep(0.2)


def ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return found


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--member", type=int)
    parser.add_argument("--ports", type=int, nargs="*", default=[])
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--adds", type=int, default=0)
    args = parser.parse_args()
    if args.member is not None:
        member(args.member, args.ports, args.folder, args.adds)
    with tempfile.TemporaryDirectory() as folder:
        at, where = ports(3), Path(folder)

        def start(number: int, adds: int = 0) -> subprocess.Popen[str]:
            words = ["--member", str(number), "--folder", str(where / str(number)), "--adds", str(adds)]
            return subprocess.Popen(
                [sys.executable, "-m", "benchmarks.library_probe", *words, "--ports", *map(str, at)],
                stdout=subprocess.PIPE,
                text=True,
            )

        def last(process: subprocess.Popen[str], for_s: float) -> str:
            assert process.stdout is not None
            os.set_blocking(process.stdout.fileno(), False)
            until, said = time.monotonic() + for_s, ""
            while time.monotonic() < until:
                said = process.stdout.readline() or said
                time.sleep(0.01)
            return said.strip() or "says nothing: it is not ready"

        a, b = start(0, ENTRIES), start(1)
        print("A:", last(a, 8.0), "| B:", last(b, 1.0))
        b.kill()
        b.wait()
        shutil.rmtree(where / "1")
        a.kill()
        a.wait()
        b, c = start(1), start(2)
        print("A gone, B wiped, C new. B:", last(b, 8.0), "| C:", last(c, 1.0))
        for process in (b, c):
            process.kill()
            process.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
