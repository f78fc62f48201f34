"""Gateway processes of one group under injected faults, checked by records of clients and endpoints."""

from __future__ import annotations

import asyncio
import random
import resource
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest

from badgergap.standins.registry import LiveRegistry
from badgergap.standins.rig import Gateway, Timeline, rig
from tests.consensus.load import BOUND_S, TRANSIT_S, Load, join, publish


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "badgergap.cli", *words], capture_output=True, text=True, timeout=60
    )


def test_a_gateway_without_a_group_loads_nothing_of_it() -> None:
    shipped = Path(__file__).parents[2] / "deploy" / "small-site.toml"
    program = f"""
import sys
from pathlib import Path
from badgergap.cli.serve import check
import badgergap.__main__
check(Path({str(shipped)!r}), {{}})
UNWANTED = ("badgergap.consensus", "badgergap.replication", "badgergap.storage", "xxhash", "zstandard")
found = [name for name in sys.modules if name.startswith(UNWANTED)]
assert not found, found
"""
    subprocess.run([sys.executable, "-c", program], check=True, cwd=shipped.parents[1], timeout=60)


def test_operator_commands_take_effect_at_all_members(tmp_path: Path) -> None:
    """Drain, publish, diff, rollback and conflicts at different members; agreed settings beat local files."""

    async def play() -> None:
        async with rig(tmp_path) as it:
            await it.settled()
            a, b, c = it
            drained = await asyncio.to_thread(run, "drain", "--file", str(a.file), "box-0")
            assert drained.returncode == 0, drained.stderr
            status = await it.status(c)
            assert status["ok"] and status["out"] == ["box-0"], status
            assert "drained by hand" in (await asyncio.to_thread(run, "status", "--file", str(b.file))).stdout
            changed = tmp_path / "changed.toml"
            changed.write_text(it.text(b, it.settings(requests=100)))
            said = await asyncio.to_thread(
                run, "settings", "publish", str(changed), "--file", str(b.file), "--reason", "fewer"
            )
            assert said.returncode == 0 and "in force at all" in said.stdout, said
            number = int(said.stdout.split()[1].rstrip(":,"))
            diff = await asyncio.to_thread(run, "settings", "diff", "1", str(number), "--file", str(c.file))
            assert "contradicts: limits: open_requests goes from 2000 to 100" in diff.stdout
            # A concurrent change that is based on an outdated version conflicts.
            late = await asyncio.to_thread(
                run, "settings", "publish", str(a.file), "--file", str(a.file), "--parent", "1"
            )
            assert late.returncode == 1 and "conflict" in late.stderr and "open_requests" in late.stderr
            # Settings that a member cannot load are rejected before they become a version.
            changed.write_text(it.text(b, it.settings(requests=50).replace("at_once = 64", "at_once = 32")))
            bad = await asyncio.to_thread(run, "settings", "publish", str(changed), "--file", str(c.file))
            assert bad.returncode == 1 and "needs a restart" in bad.stderr, bad
            # A local file that differs from the agreed settings is overridden, with a log line.
            assert a.process is not None
            a.process.send_signal(1)
            await it.until(lambda: "not as the group has agreed" in a.log(), "a line on the file")
            back = await asyncio.to_thread(run, "settings", "rollback", "1", "--file", str(c.file))
            assert back.returncode == 0, back.stderr
            undrained = await asyncio.to_thread(run, "undrain", "--file", str(c.file), "box-0")
            assert undrained.returncode == 0
            assert (await it.status(a))["out"] == []
            history = await asyncio.to_thread(run, "settings", "history", "--file", str(b.file))
            assert "fewer" in history.stdout and "back to version 1" in history.stdout

    asyncio.run(play())


def test_a_wiped_restored_or_isolated_member_is_reported_and_recovers(tmp_path: Path) -> None:
    async def play() -> None:
        async with rig(tmp_path) as it:
            await it.settled()
            a, b, c = it
            it.copy(c)
            assert await publish(it, a, 7)
            # A member restored from an old copy gets a new identity and no vote until it is replaced.
            it.put_back(c)
            it.run(c)
            await it.settled(version=2)
            lines = [m for m in (await it.status(a))["members"] if m["name"] == "c" or m["name"] == c.name]
            assert sorted(m["votes"] for m in lines) == [False, True], lines
            assert "put back from a copy" in c.log()
            replaced = await asyncio.to_thread(run, "group", "replace", c.name, "--file", str(b.file))
            assert replaced.returncode == 0, replaced.stderr
            it.wipe(a)
            it.run(a)
            await it.settled(version=2)
            replaced = await asyncio.to_thread(run, "group", "replace", a.name, "--file", str(c.file))
            assert replaced.returncode == 0, replaced.stderr
            # An isolated member stops within its lease; the others go on, and it recovers by itself.
            it.cut(b, True)
            await it.until(lambda: "HAS NO LEASE" in b.log(), "b stops", 10.0)
            began = time.monotonic()
            assert await publish(it, a, 8)
            print(f"a publish with one member cut off took {time.monotonic() - began:.2f} s")
            reader, writer = await asyncio.open_connection("127.0.0.1", b.http)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            assert head.startswith(b"HTTP/1.1 503") and b"retry-after" in head.lower()
            it.cut(b, False)
            await it.settled(version=3)
            # A removed member is rejected and logs that; added again it is a learner until it gets a vote.
            out = await asyncio.to_thread(run, "group", "remove", b.name, "--file", str(a.file))
            assert out.returncode == 0, out.stderr
            await it.until(lambda: "was taken out of the group" in b.log(), "it hears that it is out")
            for _ in range(2):
                back = await asyncio.to_thread(run, "group", "add", b.name, "--file", str(c.file))
                assert back.returncode == 0, back.stderr
                await it.settled(version=3)
            lines = (await it.status(c))["members"]
            assert sorted(m["name"] for m in lines if m["votes"]) == sorted(it.gateways), lines

    asyncio.run(play())


@pytest.mark.parametrize("members", [3, 5])
def test_under_faults_and_load_the_bound_and_the_rules_hold(tmp_path: Path, members: int) -> None:
    seed = random.randrange(1 << 30)
    print("seed", seed)

    async def play() -> None:
        async with rig(tmp_path, members=members) as it:
            await it.settled()
            load, timeline, over = Load(it, 60.0, seed), Timeline(it, seed), asyncio.Event()
            acknowledged: dict[int, int] = {}

            async def publishes() -> None:
                rng, number = random.Random(seed), 0
                while not over.is_set():
                    number += 1
                    gateway = rng.choice([g for g in it if g.running] or [next(iter(it))])
                    version = await publish(it, gateway, number, 0.0)
                    if version:
                        acknowledged[number] = version
                    await asyncio.sleep(rng.uniform(0.2, 1.5))

            work = asyncio.gather(load.play(over), publishes())
            await timeline.play(8.0)
            over.set()
            await work
            await it.settled(30.0)
            print("\n".join(timeline.said))
            leader = await it.leader()
            history = (await asyncio.to_thread(leader.ask, "history"))["versions"]
            by_reason = {head["reason"]: head["number"] for head in history}
            lost = {n: v for n, v in acknowledged.items() if by_reason.get(f"number {n}") != v}
            assert not lost, "acknowledged publishes that are gone"
            joined = join(it)
            counts = load.counts()
            print(f"{dict(counts)}, {len(acknowledged)} acknowledged of {len(history)} versions")
            print(f"longest side by side {joined.longest_s:.2f} s, versions {joined.pair}")
            assert len(joined.spans) >= 2 and len(acknowledged) >= 2
            assert joined.longest_s <= BOUND_S + TRANSIT_S
            assert not joined.twice, "effects that ran twice"
            served = counts[200] + counts[404]  # the application has no /vN paths: its 404 counts as served
            assert served > 0.2 * len(load.asked)
            # Each request gets one final answer in time, unless its gateway was killed or stopped then.
            unanswered = [a for a in load.asked if a.status in (-1, 0)]
            unexcused = [a for a in unanswered if not timeline.excuses(a.gateway, a.at, a.at + a.took_s)]
            assert not unexcused, unexcused[:5]

    asyncio.run(play())


def test_a_full_disk_stops_one_member_until_space_is_free(tmp_path: Path) -> None:
    """A member with a full disk stops acting, the others go on, and it recovers with its identity."""

    async def play() -> None:
        async with rig(tmp_path) as it:
            await it.settled()
            a, _, c = it
            assert c.process is not None
            before = (await it.status(c))["id"]
            limits = resource.prlimit(c.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(c.process.pid, resource.RLIMIT_FSIZE, (1, limits[1]))
            assert await publish(it, a, 1)
            stopped = await it.status(c)
            assert not stopped["ok"] and "cannot be written" in " ".join(stopped["why"]), stopped
            reader, writer = await asyncio.open_connection("127.0.0.1", c.http)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
            writer.close()
            resource.prlimit(c.process.pid, resource.RLIMIT_FSIZE, limits)
            await it.settled(version=2)
            after = await it.status(c)
            assert after["id"] == before and after["ok"], after

    asyncio.run(play())


def test_the_leader_follows_the_endpoint_list_for_all(tmp_path: Path) -> None:
    """One watch per group, drains in time at all members, a killed leader, a list that shrinks by half."""

    async def play() -> None:
        registry = LiveRegistry()
        await registry.start()
        site = f'discovery = "{registry.address}"\n'
        try:
            async with rig(tmp_path, boxes=4, extra='lists = "leader"\n', site=site, named=False) as it:
                for app in it.apps:
                    registry.set(app.name, app.address)
                await it.settled(version=2)
                await it.until(lambda: len(registry.open) == 1, "one gateway watches")
                load, over = Load(it, 100.0, 1), asyncio.Event()
                work = asyncio.ensure_future(load.play(over))
                await it.until(lambda: all(app.runs for app in it.apps), "all boxes are used")
                drained_at = time.monotonic()
                registry.set("box-0", it.apps[0].address, "leaving")
                await asyncio.sleep(1.5)
                late = [
                    run.at - drained_at for run in it.apps[0].runs if run.at - drained_at > 0.5 + TRANSIT_S
                ]
                assert not late, late
                leader = await it.leader()
                it.kill(leader)
                await it.until(lambda: len(registry.open) == 1, "another one watches")
                registry.set("box-0", it.apps[0].address)
                before = len(it.apps[0].runs)
                await it.until(lambda: len(it.apps[0].runs) > before, "the box is used again")
                it.run(leader)
                await it.settled(version=3)
                for app in it.apps[:3]:
                    registry.entries.pop(app.name)
                registry.index += 1
                registry.cut()  # and the next list that is read names one endpoint
                await it.until(lambda: any("HELD" in g.log() for g in it), "it is held and shouted")
                gone, now = it.apps[:3], time.monotonic()
                await it.until(lambda: all(a.runs[-1].at > now for a in gone), "they are still used")
                over.set()
                await work
        finally:
            registry.stop()

    asyncio.run(play())


def test_unauthenticated_connections_only_cause_one_log_line(tmp_path: Path) -> None:
    """Wrong keys, random bytes, partial frames and many connections at the group's address."""

    async def play() -> None:
        async with rig(tmp_path, members=1) as it:
            await it.settled()
            (only,) = it
            before = await it.status(only)
            rng = random.Random(5)
            writers = []
            for number in range(400):
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", only.peer)
                except OSError:
                    continue
                writers.append(writer)
                if number % 3 == 0:
                    writer.write(rng.randbytes(rng.randrange(200)))
                elif number % 3 == 1:
                    writer.write(b"\x10\x00\x00\x00" + bytes(60))
            await it.until(lambda: "rejected at the group's address" in only.log(), "a line in the log")
            for writer in writers:
                writer.close()
            assert only.log().count("rejected at the group's address") == 1
            after = await it.status(only)
            assert (after["term"], after["newest"], after["ok"]) == (before["term"], before["newest"], True)

    asyncio.run(play())


def test_a_duplicate_name_and_a_wrong_key_are_rejected(tmp_path: Path) -> None:
    async def play() -> None:
        async with rig(tmp_path) as it:
            await it.settled()
            c = it["g2"]
            twin = Gateway("g2", tmp_path / "twin", c.http + 0, 0)
            shutil.copytree(c.folder, twin.folder, ignore=shutil.ignore_patterns("state", "*.sock*", "log-*"))
            text = (
                c.file.read_text()
                .replace(f":{c.http}", ":0")
                .replace(f'listen = "127.0.0.1:{c.peer}"', 'listen = "127.0.0.1:0"')
            )
            twin.file.write_text(text)
            it.gateways["twin"] = twin
            it.run(twin)
            await it.until(lambda: "not let into the group" in twin.log(), "the twin hears why")
            assert "another member called g2 is alive" in twin.log()
            it.kill(twin)
            del it.gateways["twin"]
            it.kill(c)
            (c.folder / "key").write_text("another key, as long as need be")
            it.run(c)
            await it.until(
                lambda: "the dialer has another key" in it["g0"].log() + it["g1"].log(), "a line on the key"
            )
            assert (await it.status(it["g0"]))["lease_ms"] > 0

    asyncio.run(play())
