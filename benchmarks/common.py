"""Processes to measure, and how."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

CLASSES = "".join(
    f'\n[[class]]\nname = "{name}"\nwanted_within = "2s"\ngiven_up_after = "4s"\nrepeats = "safe"\n'
    for name in ("result-entry", "standings", "deck-check")
)


def cpu_s(pid: int) -> float:
    """Processor time that a process's main thread has used, in seconds: to the nanosecond."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def quantile(ordered: Sequence[float], share: float) -> float:
    """Of values in order; 0 of none."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def memory_mb(pid: int) -> float:
    """Its resident memory, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


GATEWAY_CPU, FLEET_CPU, LOAD_CPU = 1, 2, 3  # each its own, so that none is measured in another's place


def pin(pid: int, cpu: int) -> None:
    """Keep a process on one processor, where the machine has that many."""
    if cpu in os.sched_getaffinity(0):
        os.sched_setaffinity(pid, {cpu})


@contextmanager
def child(
    *arguments: str, ready: str, cpu: int = GATEWAY_CPU, **environ: str
) -> Iterator[tuple[subprocess.Popen[str], str, float]]:
    """A Python process, the line that says it is ready, and the seconds until then."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | environ
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=env,
    )
    assert process.stdout is not None
    pin(process.pid, cpu)
    try:
        while ready not in (line := process.stdout.readline()):
            if not line:
                raise RuntimeError(f"{arguments} ended before it was ready")
        yield process, line.rstrip(), time.monotonic() - began
    finally:
        process.terminate()
        process.wait()


@contextmanager
def fleet(boxes: int) -> Iterator[dict[str, str]]:
    """Stand-in boxes that answer at once, in a process of their own: name to address."""
    arguments = ("-m", "badgergap.standins", "--plain", "--boxes", str(boxes))
    with child(*arguments, ready="registry", cpu=FLEET_CPU) as (_, line, _took):
        yield json.loads(line)["boxes"]


def site_file(folder: Path, boxes: dict[str, str]) -> Path:
    text = '[site]\nname = "bench"\nlisten = "127.0.0.1:0"\nadmin = "admin.sock"\nstate = "state"\n' + CLASSES
    text += "".join(f'\n[[box]]\nname = "{name}"\naddress = "{at}"\n' for name, at in boxes.items())
    path = folder / "site.toml"
    path.write_text(text)
    return path


def platform_file(folder: Path, boxes: dict[str, str]) -> Path:
    """The same site as a platform's configuration: what the bare run reads."""
    lanes = [
        {"name": name, "effect": "free", "aimUs": 2_000_000, "giveUpUs": 4_000_000, "lateValue": 0.0}
        for name in ("result-entry", "standings", "deck-check")
    ]
    known = [
        {"name": name, "address": at, "zone": "a", "type": "m", "status": "active"}
        for name, at in boxes.items()
    ]
    raw = {
        "name": "bench",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "known": {"endpoints": known},
        "settings": {
            "lanes": lanes,
            "zones": ["a"],
            "shapes": ["m"],
            "membershipMode": "pushed",
            "caps": {"mayCancel": True, "maxAttempts": 3},
        },
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return path


def closed_load(address: str, seconds: float, connections: int = 32) -> dict[str, float]:
    """Clients in a process of their own."""
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "badgergap.standins.closed", address),
            *("--seconds", str(seconds), "--connections", str(connections)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    pin(process.pid, LOAD_CPU)
    out, _ = process.communicate(timeout=seconds * 3 + 30)
    found: dict[str, float] = json.loads(out)
    return found
