"""Real gateways of a group under load and seeded faults, for long; ledgers of clients and boxes joined.

    python -m benchmarks.group_faults --members 3 --minutes 30 --seed 1

What `tests/consensus/test_process.py` plays for seconds. Prints the timeline, and a line of figures at the
end; exits with 1 where the bound, an acknowledged publish, one answer in time, or an effect's once was
broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path

from badgergap.standins.rig import Timeline, rig
from benchmarks.common import quantile
from tests.consensus.load import BOUND_S, TRANSIT_S, Load, join, publish

FAULTS = ("kill", "kill", "stop", "stop", "cut", "cut", "deaf", "delay", "reset", "wipe", "copy")


async def play(members: int, minutes: float, seed: int) -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with rig(Path(folder), members=members, boxes=4) as it:
            await it.settled()
            load, over = Load(it, 60.0, seed), asyncio.Event()
            timeline = Timeline(it, seed, FAULTS)
            acknowledged: dict[int, int] = {}
            took: list[float] = []

            async def publishes() -> None:
                chance, number = random.Random(seed), 0
                while not over.is_set():
                    number += 1
                    running = [gateway for gateway in it if gateway.running]
                    if running:
                        began = time.monotonic()
                        version = await publish(it, chance.choice(running), number, 0.0)
                        if version:
                            acknowledged[number] = version
                            took.append(time.monotonic() - began)
                    await asyncio.sleep(chance.uniform(0.2, 2.0))

            work = asyncio.gather(load.play(over), publishes())
            try:
                await timeline.play(minutes * 60.0)
            finally:
                print("\n".join(timeline.said[-400:]), flush=True)
                over.set()
            await work
            await it.settled(60.0)
            leader = await it.leader()
            history = (await asyncio.to_thread(leader.ask, "history", last=1000))["versions"]
            kept = {head["reason"]: head["number"] for head in history}
            oldest = history[0]["number"]
            lost = [n for n, v in acknowledged.items() if v >= oldest and kept.get(f"number {n}") != v]
            joined, counts = join(it), load.counts()
            owed = [a for a in load.asked if a.status in (-1, 0)]
            unexcused = [a for a in owed if not timeline.excuses(a.gateway, a.at, a.at + a.took_s)]
            answered = sorted(a.took_s for a in load.asked if a.status > 0)
            print(
                json.dumps(
                    {
                        "members": members,
                        "seed": seed,
                        "minutes": minutes,
                        "faults": len(timeline.said),
                        "asked": len(load.asked),
                        "by status": {str(status): count for status, count in sorted(counts.items())},
                        "owed by who was killed or stopped": len(owed) - len(unexcused),
                        "owed by others": len(unexcused),
                        "effects twice": len(joined.twice),
                        "publishes acknowledged": len(acknowledged),
                        "acknowledged and lost": lost,
                        "publish, s, p50 p99": [round(quantile(sorted(took), q), 3) for q in (0.5, 0.99)],
                        "answer, ms, p50 p99": [round(1000 * quantile(answered, q), 1) for q in (0.5, 0.99)],
                        "longest side by side, s": round(joined.longest_s, 3),
                        "of versions": joined.pair,
                    }
                ),
                flush=True,
            )
            broken = lost or unexcused or joined.twice or joined.longest_s > BOUND_S + TRANSIT_S
            for asked in unexcused[:10]:
                print("owed:", asked)
            return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    return asyncio.run(play(args.members, args.minutes, args.seed))


if __name__ == "__main__":
    sys.exit(main())
