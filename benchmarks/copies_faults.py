"""Real gateways that keep copies, under load and seeded faults, for long; beside it the same without copies.

    python -m benchmarks.copies_faults --minutes 30 --seed 1 [--without]

Five gateways in three zones; kills, stops, cuts and wiped folders, one at a time. Clients repeat at another
gateway after every loss. Exits with 1 where an effect ran twice, or an answer changed, with copies.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from badgergap.standins.rig import Timeline, rig
from benchmarks.common import quantile
from tests.replication.load import Keyed, keyed
from tests.replication.test_process import placed

FAULTS = ("kill", "kill", "stop", "stop", "cut", "cut", "deaf", "reset", "wipe", "copy")


async def play(minutes: float, seed: int, rate: float, copies: bool) -> int:
    with tempfile.TemporaryDirectory() as folder:
        more = dict(copies="copies = 3\n", shared=keyed()) if copies else dict(shared=keyed(once=""))
        async with rig(Path(folder), members=5, boxes=4, zones=3, **more) as it:
            await it.settled()
            if copies:
                await placed(it)
            load, over = Keyed(it, rate, seed), asyncio.Event()
            timeline = Timeline(it, seed, FAULTS)
            out: dict[str, int] = {}  # hosts taken out by hand: what `ok` was said to
            work = asyncio.gather(load.play(over), hosts(it, over, out))
            try:
                await timeline.play(minutes * 60.0)
            finally:
                over.set()
            await work
            await it.settled(60.0)
            whole, ended = 0.0, {}
            if copies:
                began = time.monotonic()
                # Not `ok` where two of three were lost before they were filled: that lasts as long as `once`.
                ended = await placed(it, 120.0, well=False)
                whole = time.monotonic() - began
            leader = await it.leader()
            status = await it.status(leader)
            lost = [host for host, said in out.items() if said and host not in status["out"]]
            judged = load.judge()
            answers = [answer for each in load.answers.values() for answer in each]
            print("\n".join(timeline.said[-20:]))
            print(
                json.dumps(
                    {
                        "copies": copies,
                        "seed": seed,
                        "minutes": minutes,
                        "faults": dict(Counter(line.split()[2] for line in timeline.said)),
                        "keys": judged.keys,
                        "requests": len(answers),
                        "by end": dict(Counter(f"{a.status} {a.state}".strip() for a in answers)),
                        "effects twice": len(judged.twice),
                        "answers changed": len(judged.changed),
                        "hosts out by hand, acknowledged": sum(out.values()),
                        "of these lost": lost,
                        "parts that lost a majority": ended.get("lost", 0),
                        "keys in doubt at the end": len(judged.in_doubt),
                        "keys with no answer": len(judged.unanswered),
                        "served, ms, p50 p99": [
                            round(1e3 * quantile(judged.took_s, q), 1) for q in (0.5, 0.99)
                        ],
                        "s until all copies are whole": round(whole, 1),
                    }
                ),
                flush=True,
            )
            return 1 if copies and (judged.twice or judged.changed or lost) else 0


async def hosts(it: object, over: asyncio.Event, out: dict[str, int]) -> None:
    """Hosts that nobody names are taken out by hand, one every few seconds: they must stay out."""
    from badgergap.standins.rig import Rig

    assert isinstance(it, Rig)
    number = 0
    while not over.is_set():
        running = [gateway for gateway in it if gateway.running]
        if running:
            number += 1
            host = f"spare-{number}"
            try:
                await asyncio.to_thread(running[number % len(running)].ask, "out", host=host, by="bench")
                out[host] = 1
            except Exception:
                out[host] = 0
        await asyncio.sleep(5.0)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=20.0, help="new keys a second")
    parser.add_argument("--without", action="store_true", help="the same without copies")
    args = parser.parse_args()
    return asyncio.run(play(args.minutes, args.seed, args.rate, not args.without))


if __name__ == "__main__":
    sys.exit(main())
