"""Real gateways that replicate records: gateways lose their disks, requests are repeated at others."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from badgergap.admin import AdminError, NoGateway
from badgergap.standins.h3 import Client3
from badgergap.standins.rig import Gateway, Rig, Timeline, rig
from tests.consensus.test_process import run
from tests.h3.harness import https
from tests.replication.load import Keyed, keyed, post

PLACED_S = 20.0
OF_BOX = 200


async def placed(it: Rig, within_s: float = PLACED_S, well: bool = True) -> dict[str, Any]:
    """Wait until the replicas are placed and settled, and return the status.

    `well`: the status has to be ok, too.
    """
    began, status = time.monotonic(), dict[str, Any]()
    while time.monotonic() - began < within_s:
        for gateway in it:
            if not gateway.running:
                continue
            try:
                status = await asyncio.to_thread(gateway.ask, "copies.status", 3.0)
            except Exception as error:
                status = {"error": str(error)}
            if status.get("epoch") and not status["moving"] and (status["ok"] or not well):
                return status
        await asyncio.sleep(0.05)
    logs = "\n".join(f"--- {g.name}\n{g.log()[-1500:]}" for g in it)
    raise AssertionError(f"the replicas are not settled after {within_s} s: {status}\n{logs}")


def played(what: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(what())  # type: ignore[arg-type]


def effects(it: Rig, key: str) -> int:
    return sum(r.whole and r.headers.get("idempotency-key") == key for a in it.apps for r in a.runs)


async def cli(gateway: Gateway, *words: str) -> subprocess.CompletedProcess[str]:
    return await asyncio.to_thread(run, "copies", *words, "--file", str(gateway.file))


def test_a_stored_answer_survives_its_gateway_and_its_disk(tmp_path: Path) -> None:
    """A stored answer is returned by the other gateways after its gateway has lost its disk.

    Also checked: concurrent requests with one key, another body, an answer too long to be stored, the
    operator's commands, and a snapshot restored into a new group.
    """

    async def play() -> None:
        async with rig(tmp_path / "one", zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            a, b, c = it
            first = await post(a, "slip-1")
            assert first.status == OF_BOX, first
            # Concurrently at all gateways: the request runs once, and all receive the same answer.
            many = await asyncio.gather(*(post(g, "crowd") for g in (a, b, c) for _ in range(60)))
            assert {answer.status for answer in many} == {OF_BOX}
            assert len({answer.body for answer in many}) == 1 and effects(it, "crowd") == 1
            long = await post(b, "long", path="/file?n=300000")
            assert long.status == OF_BOX and len(long.body) == 300_000
            again = await post(c, "long", path="/file?n=300000")
            assert (again.status, again.state) == (409, "done") and effects(it, "long") == 1
            it.wipe(a)
            for gateway in (b, c):
                repeated = await post(gateway, "slip-1")
                assert repeated.status == OF_BOX and repeated.body == first.body
            assert (await post(b, "slip-1", b"another slip")).status == 422
            it.run(a)
            await it.settled()
            assert (await placed(it))["parts"] == {"3": 256}
            repeated = await post(a, "slip-1")
            assert repeated.body == first.body and effects(it, "slip-1") == 1
            found = await cli(b, "find", "slip-1")
            assert "done, status 200" in found.stdout and "by g0" in found.stdout, found
            assert "nothing is kept" in (await cli(b, "find", "no such key")).stdout
            # A write in progress at one replica may be reported as a problem for a moment.
            for _ in range(50):
                shown = await cli(c, "status")
                if shown.returncode == 0:
                    break
            assert shown.returncode == 0 and "copies: ok" in shown.stdout, shown
            # A snapshot can be restored into a new group, but not into this one.
            snap = tmp_path / "snap"
            saved = await cli(b, "save", str(snap))
            assert saved.returncode == 0, saved.stderr
            verified = await asyncio.to_thread(run, "copies", "verify", str(snap))
            assert "3 records" in verified.stdout, verified
            refused = await cli(b, "restore", str(snap))
            assert refused.returncode == 1 and "this group is alive" in refused.stderr
            data = snap.read_bytes()
            (tmp_path / "bad").write_bytes(data[: len(data) // 2] + b"x" + data[len(data) // 2 + 1 :])
            bad = await asyncio.to_thread(run, "copies", "verify", str(tmp_path / "bad"))
            assert bad.returncode == 2 and "bad:" in bad.stderr, bad
        async with rig(tmp_path / "two", zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            restored = await cli(it["g1"], "restore", str(snap))
            assert restored.returncode == 0 and "3 of 3 records" in restored.stdout, restored
            repeated = await post(it["g2"], "slip-1")
            assert repeated.body == first.body and effects(it, "slip-1") == 0

    played(play)


@pytest.mark.parametrize("repeats", ["unsafe", "keyed"])
def test_a_request_that_may_have_run_is_in_doubt_or_sent_to_deduplicating_endpoints(
    tmp_path: Path, repeats: str
) -> None:
    """A gateway is lost with its disk while an endpoint has the request and has not answered."""

    async def play() -> None:
        async with rig(tmp_path, boxes=2, copies="copies = 3\n", shared=keyed(repeats=repeats)) as it:
            await it.settled()
            await placed(it)
            a, b, c = it
            for app in it.apps:
                app.silent = True
            lost = asyncio.create_task(post(a, "slip"))
            await it.until(lambda: effects(it, "slip") == 1, "an endpoint has the request")
            it.wipe(a)
            assert (await lost).status == 0
            for app in it.apps:
                app.silent = False
            repeated = await post(b, "slip")
            if repeats == "keyed":  # the endpoints drop repeats of a key, so the request may be sent again
                assert repeated.status == OF_BOX
                assert (await post(c, "slip")).body == repeated.body
                return
            assert (repeated.status, repeated.state) == (409, "in-doubt")
            assert (await post(c, "slip")).state == "in-doubt" and effects(it, "slip") == 1
            assert "IN DOUBT" in (await cli(c, "find", "slip")).stdout
            settled = await cli(c, "settle", "slip", "--never")
            assert settled.returncode == 0, settled.stderr
            assert (await post(b, "slip")).status == OF_BOX and effects(it, "slip") == 2
            assert (await cli(c, "settle", "slip", "--ran")).returncode == 1  # no record is in doubt any more

    played(play)


def test_a_minority_answers_nothing_and_keys_are_in_doubt_after_a_lost_majority(tmp_path: Path) -> None:
    async def play() -> None:
        async with rig(tmp_path, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            a, b, c = it
            kept = await post(a, "kept")
            it.cut(c, True)
            for key in ("kept", "new"):
                said = await post(c, key)
                assert said.status == 503 and effects(it, "new") == 0, said
            it.cut(c, False)
            await it.settled()
            it.kill(c)  # so that it has no record of the next key
            lost = await post(a, "lost")
            assert lost.status == OF_BOX
            it.wipe(a)
            it.wipe(b)
            it.run(c)
            for _ in range(50):
                try:
                    await asyncio.to_thread(c.ask, "force")
                    break
                except (AdminError, NoGateway):
                    await asyncio.sleep(0.2)
            it.run(a)
            it.run(b)
            await it.until(lambda: "HAVE LOST A MAJORITY" in c.log(), "the lost majority is logged", 30.0)
            await it.settled()
            status = await placed(it, well=False)
            assert status["lost"] == 256 and any("in doubt" in why for why in status["why"])
            assert (await post(b, "kept")).body == kept.body
            for gateway in it:
                assert (await post(gateway, "lost")).state == "in-doubt"
            assert effects(it, "lost") == 1

    played(play)


def test_a_gateway_killed_at_a_step_of_a_write_causes_no_second_run(tmp_path: Path) -> None:
    """The gateway that runs a request kills itself at a step, and its folder is deleted.

    `benchmarks/copies.py` runs this for many steps.
    """

    async def play() -> None:
        async with rig(tmp_path, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            assert await last_steps(it, [9, 24]) == []

    played(play)


async def last_steps(it: Rig, steps: list[int]) -> list[str]:
    """Kill the first gateway at each of these steps, and return descriptions of the violations."""
    a, b, c = it
    wrong, known = [], dict[str, bytes]()
    for step in steps:
        it.wipe(a)
        it.run(a, program=(sys.executable, "-B", "-m", "tests.replication.dying", str(step)))
        await it.settled()
        voted = [m for m in (await it.status(b))["members"] if m["name"] == a.name]
        if len(voted) > 1:
            await asyncio.to_thread(b.ask, "change", name=a.name, do="replace")
        await placed(it)
        key = f"step-{step}"
        said = await post(a, key)
        it.wipe(a)
        for gateway in (b, c):
            answer = await post(gateway, key)
            ran = effects(it, key)
            if ran > 1 or (said.status == OF_BOX and answer.body != said.body):
                wrong.append(f"step {step}: ran {ran} times, {said}, then {answer}")
            if answer.status != OF_BOX and answer.state != "in-doubt":
                wrong.append(f"step {step}: {answer}")
            if answer.status == OF_BOX:
                known[key] = answer.body
        for old, body in known.items():
            if (await post(c, old)).body != body:
                wrong.append(f"after step {step} {old} is another")
    return wrong


def test_no_request_runs_twice_while_gateways_crash_and_lose_their_disks(tmp_path: Path) -> None:
    """Five gateways in three zones; `benchmarks/copies_faults.py` runs the same for longer."""

    async def play() -> None:
        async with rig(tmp_path, members=5, zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            load, over = Keyed(it, 20.0, seed=11), asyncio.Event()
            timeline = Timeline(it, 11, ("kill", "stop", "cut", "wipe"))
            work = asyncio.create_task(load.play(over))
            await timeline.play(12.0, (0.2, 0.8))
            over.set()
            await work
            judged = load.judge()
            print("\n".join(timeline.said))
            assert judged.keys > 100 and not judged.twice and not judged.changed, judged
            assert len(judged.in_doubt) + len(judged.unanswered) < judged.keys / 4, judged

    played(play)


def test_a_rolling_restart_leaves_no_key_unanswered_or_in_doubt(tmp_path: Path) -> None:
    async def play() -> None:
        async with rig(tmp_path, zones=3, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            load, over = Keyed(it, 25.0, seed=5), asyncio.Event()
            work = asyncio.create_task(load.play(over))
            for gateway in it:
                assert gateway.process is not None
                gateway.process.terminate()
                assert await asyncio.to_thread(gateway.process.wait, 20.0) == 0
                it.run(gateway)
                await it.settled()
                await placed(it)
            over.set()
            await work
            judged = load.judge()
            assert judged.keys > 100 and not judged.twice and not judged.changed, judged
            assert not judged.in_doubt and not judged.unanswered, judged

    played(play)


def test_a_stalled_answer_to_a_client_that_has_left_is_given_up(tmp_path: Path) -> None:
    """Only a client's connection timed the attempts: one that went on without its client never ended."""

    async def play() -> None:
        shared = keyed() + 'between_bytes = "1s"\n'  # of the route /file
        async with rig(tmp_path, boxes=1, copies="copies = 3\n", shared=shared) as it:
            await it.settled()
            await placed(it)
            (app,) = it.apps
            app.fault = "stall"
            gone = asyncio.create_task(post(it["g0"], "left", path="/file?n=200000"))
            await it.until(lambda: effects(it, "left") == 1, "an endpoint has the request")
            await asyncio.sleep(0.3)  # its answer has begun
            gone.cancel()
            await it.until(lambda: not app.writers, "the endpoint's connection is closed", 5.0)
            assert effects(it, "left") == 1

    played(play)


def test_a_key_received_over_http3_is_the_same_key_over_http1(tmp_path: Path) -> None:
    """An answer stored for an HTTP/3 request is returned after its gateway and disk are lost.

    A key in doubt is also reported as such over HTTP/3.
    """

    async def play() -> None:
        authority, tables = https(tmp_path)
        async with rig(tmp_path, boxes=2, site=tables, copies="copies = 3\n", shared=keyed()) as it:
            await it.settled()
            await placed(it)
            a, b, c = it

            async def post3(gateway: Gateway, key: str) -> tuple[int, dict[str, str], bytes]:
                port = int(re.findall(r"serves HTTP/3 on \S+:(\d+)", gateway.log())[-1])
                async with Client3(("127.0.0.1", port), str(authority.path)) as client:
                    asked = client.ask("POST", "/echo", b"slip", [(b"idempotency-key", key.encode())])
                    return await asked.whole()

            status, _, body = await post3(a, "slip")
            assert status == OF_BOX and effects(it, "slip") == 1
            it.wipe(a)
            assert (await post3(b, "slip"))[::2] == (OF_BOX, body)
            assert (await post(c, "slip")).body == body and effects(it, "slip") == 1
            it.run(a)
            await it.settled()
            await placed(it)
            for app in it.apps:
                app.silent = True
            lost = asyncio.create_task(post3(b, "doubt"))
            await it.until(lambda: effects(it, "doubt") == 1, "an endpoint has the request")
            it.wipe(b)
            lost.cancel()
            for app in it.apps:
                app.silent = False
            status, head, _ = await post3(c, "doubt")
            assert (status, head["idempotency-state"]) == (409, "in-doubt") and effects(it, "doubt") == 1

    played(play)
