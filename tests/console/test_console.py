"""The real console in a real pseudo-terminal, against the real gateway process and stand-in boxes."""

from __future__ import annotations

import asyncio
import re
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgergap.standins.load import Load
from tests.appliance.harness import KINDS, Admin, Process, appliance
from tests.console.terminal import Terminal
from tests.sockets import run


@asynccontextmanager
async def console(
    path: Path, columns: int = 80, rows: int = 24, deaf: bool = False, **environ: str
) -> AsyncIterator[Terminal]:
    terminal = Terminal(
        ["-m", "badgergap.cli", "console", "--socket", str(path / "admin.sock"), "--by", "vera"],
        columns,
        rows,
        deaf,
        **environ,
    )
    try:
        yield terminal
    finally:
        terminal.close()


def chosen(text: str) -> str:
    match = re.search(r"^> (\S+)", text, re.M)
    return match[1] if match else ""


def test_a_volunteer_drains_a_box_and_reads_the_service(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """By the keys that the screen names, and nothing else known beforehand."""

    async def test() -> None:
        async with appliance(tmp_path, count=4, work_s=0.005) as (process, boxes, _):
            load = Load("127.0.0.1", process.port, KINDS)
            running = asyncio.create_task(load.run(100.0, 6.0))
            began = time.monotonic()
            async with console(tmp_path) as terminal:
                shown = await terminal.until("> box-1")
                assert (
                    "d drain" in shown
                    and "up/down choose" in shown
                    and "s service" in shown
                    and chosen(shown) == "box-1"
                )
                terminal.press("down", "down")
                await terminal.until(lambda text: chosen(text) == "box-3", "> box-3")
                terminal.press("d")
                shown = await terminal.until("Drain box-3?")
                assert (
                    "box-3 gets nothing new" in shown
                    and "3 of 4 boxes remain, about 75 % of capacity" in shown
                )
                assert "y yes, drain it" in shown
                terminal.press("y")
                await terminal.until("drained by hand, by vera")
                drained_at = time.monotonic()
                terminal.press("s")
                shown = await terminal.until(
                    lambda text: re.search(r"result-entry.*\n.*10 s: \d+ % in time of \d+", text) is not None
                )
                keys, seconds = terminal.keys, time.monotonic() - began
                with capsys.disabled():
                    print(
                        f"\na box drained and the service read: {keys} keys, {seconds:.1f} s with the start"
                    )
                assert keys == 5
                terminal.press("q")
                assert await terminal.end() == 0
            await running
            assert load.ledger.faults() == []
            assert not [seen for seen in boxes[2].seen if seen.at > drained_at + 0.5]

    run(test())


def test_a_resize_in_the_middle_of_a_question(tmp_path: Path) -> None:
    async def test() -> None:
        async with appliance(tmp_path) as (_, _, admin), console(tmp_path) as terminal:
            await terminal.until("> box-1")
            terminal.press("d")
            await terminal.until("Drain box-1?")
            terminal.resize(20, 5)
            shown = await terminal.until(lambda text: "Drain box-1?" in text and "y yes" in text)
            assert max(map(len, shown.splitlines())) <= 20
            terminal.resize(40, 12)
            await terminal.until("2 of 3 boxes remain")
            terminal.resize(80, 24)
            await terminal.until("y yes, drain it    n no")
            assert (await admin.states())["box-1"] == "untried"  # nothing was done by all that
            terminal.resize(20, 5)
            await terminal.until(lambda text: "Drain box-1?" in text and "y yes" in text)
            terminal.press("y")
            while (await admin.states())["box-1"] != "drained":
                await asyncio.sleep(0.01)
            terminal.resize(80, 24)
            await terminal.until("drained by hand, by vera")

    run(test())


@pytest.mark.parametrize("how", ["window closed", "killed"])
def test_a_console_that_ends_between_the_key_and_the_answer(tmp_path: Path, how: str) -> None:
    """The gateway stands still while the key is pressed, so that no answer can come. Afterwards the next
    console, `status` and the gateway tell the same."""

    async def test() -> None:
        async with appliance(tmp_path) as (process, _, admin):
            async with console(tmp_path) as terminal:
                await terminal.until("> box-1")
                terminal.press("d")
                await terminal.until("Drain box-1?")
                process.send(signal.SIGSTOP)
                terminal.press("y")
                if how == "killed":
                    terminal.close()
                else:
                    terminal.hang_up()
                    await terminal.end()
            process.send(signal.SIGCONT)
            states = await admin.states()
            for _ in range(20):  # whichever it was: it does not change its mind
                assert await admin.states() == states
                await asyncio.sleep(0.01)
            async with console(tmp_path) as terminal:
                word = "drained by hand, by vera" if states["box-1"] == "drained" else "not tried yet"
                shown = await terminal.until("> box-1")
                line = next(line for line in shown.splitlines() if "box-1" in line)
                assert word in line

    run(test())


def test_a_console_whose_window_is_closed_ends_though_it_hears_no_hangup(tmp_path: Path) -> None:
    """Under nohup it went on for ever, and its reader of keys took more than a whole processor."""

    async def test() -> None:
        async with appliance(tmp_path), console(tmp_path, deaf=True) as terminal:
            await terminal.until("> box-1")
            terminal.hang_up()
            await terminal.end()

    run(test())


def test_a_gateway_that_restarts_under_an_open_console(tmp_path: Path) -> None:
    async def test() -> None:
        async with appliance(tmp_path) as (process, _, _), console(tmp_path) as terminal:
            await terminal.until("> box-1")
            await process.stop(signal.SIGKILL)
            shown = await terminal.until("NO WORD from the gateway since")
            assert "Below is how it was THEN" in shown
            terminal.press("d")  # nothing can be drained, and it says so
            await terminal.until("nothing can be drained now")
            await process.start()
            await terminal.until("The gateway was restarted at")
            assert "NO WORD" not in terminal.text
            terminal.press("d", "y")
            await terminal.until("drained by hand, by vera")
            await process.stop(signal.SIGTERM)
            await terminal.until("NO WORD")

    run(test())


def test_a_gateway_that_stands_still_is_shown_as_silent(tmp_path: Path) -> None:
    """The connection is open: only that nothing comes tells."""

    async def test() -> None:
        async with appliance(tmp_path) as (process, _, _), console(tmp_path) as terminal:
            await terminal.until("> box-1")
            process.send(signal.SIGSTOP)
            await terminal.until("NO WORD from the gateway since")
            process.send(signal.SIGCONT)
            await terminal.until(lambda text: "NO WORD" not in text)

    run(test())


def test_a_console_that_waits_for_its_gateway(tmp_path: Path) -> None:
    async def test() -> None:
        async with console(tmp_path) as terminal:
            await terminal.until("No gateway answers")
            async with appliance(tmp_path):
                await terminal.until("box-1")
            terminal.press("ctrl+c")
            assert await terminal.end() == 0

    run(test())


def test_half_of_twelve_boxes_die_under_an_open_console(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with (
            appliance(tmp_path, count=12, work_s=0.005) as (process, boxes, _),
            console(tmp_path) as terminal,
        ):
            load = Load("127.0.0.1", process.port, KINDS)
            running = asyncio.create_task(load.run(300.0, 4.0))
            await terminal.until("serving")
            await asyncio.sleep(1.0)
            for box in boxes[:6]:
                box.die()
            took_ms = []
            for _ in range(10):
                for key, sign in (("?", "Words"), ("escape", "> box-1")):
                    pressed = time.monotonic()
                    terminal.press(key)
                    await terminal.until(sign)
                    took_ms.append(1000 * (time.monotonic() - pressed))
            with capsys.disabled():
                usual, most = sorted(took_ms)[10], max(took_ms)
                print(f"\nkeys answered while half of the boxes die: {usual:.0f} ms, {most:.0f} ms at most")
            await terminal.until("resting after failures until")
            await running
            assert load.ledger.faults() == []

    run(test())


def test_two_hundred_boxes_on_the_smallest_screen(tmp_path: Path) -> None:
    async def test() -> None:
        async with appliance(tmp_path, count=200), console(tmp_path, 40, 12) as terminal:
            await terminal.until("> box-1")
            terminal.press("end")
            await terminal.until("> box-200")
            terminal.press("d", "y")
            await terminal.until("drained by hand")
            terminal.resize(80, 24)
            await terminal.until("drained by hand, by vera")

    run(test())


def test_two_consoles_with_opposite_wishes(tmp_path: Path) -> None:
    async def test() -> None:
        async with appliance(tmp_path) as (_, _, admin), console(tmp_path) as one, console(tmp_path) as two:
            for terminal in (one, two):
                await terminal.until("> box-1")
            one.press("d", "y")
            await two.until("drained by hand, by vera")
            two.press("u")
            for terminal in (one, two):
                await terminal.until("vera let box-1 serve again")
                await terminal.until(lambda text: "drained by hand, by" not in text)
            assert (await admin.states())["box-1"] == "untried"

    run(test())


def test_without_colour_and_with_evil_names(tmp_path: Path) -> None:
    """A name may hold what a terminal obeys only if it comes from a registry: the file's names are plain."""

    async def test() -> None:
        from badgergap.standins.registry import LiveRegistry
        from tests.appliance.harness import site_text, start_boxes

        registry, boxes = LiveRegistry(), await start_boxes(1)
        await registry.start()
        evil = "box\x1b]0;owned\x07\x1b[31m\x1b[2J"
        registry.set(evil, boxes[0].address)
        path = tmp_path / "site.toml"
        path.write_text(site_text([]).replace("state = ", f'discovery = "{registry.address}"\nstate = '))
        process, admin = Process(path), Admin(tmp_path / "admin.sock")
        try:
            await process.start()
            await admin.connect()
            async with console(tmp_path, 120, 24, NO_COLOR="1") as terminal:
                await terminal.until("box\\x1b]0;owned\\x07")
                assert b"]0;owned\x07" not in terminal.raw
                colours = re.findall(rb"\x1b\[([0-9;]*)m", bytes(terminal.raw))
                assert not [code for code in colours if re.search(rb"(^|;)(3[1-6]|38|4[1-6]|48)(;|$)", code)]
        finally:
            await admin.close()
            await process.stop(signal.SIGKILL)
            registry.stop()
            boxes[0].die()

    run(test())


def test_the_demo_ends_with_nothing_left_running(tmp_path: Path) -> None:
    async def test() -> None:
        terminal = demo(tmp_path, 4)
        try:
            await terminal.until("x break")
            children = _children(terminal.pid)
            assert len(children) == 2
            terminal.press("x")
            await terminal.until(lambda text: "resting" in text or "gone" in text)
            terminal.press("q")
            assert await terminal.end() == 0
            assert not [pid for pid in children if _runs(pid)]
        finally:
            terminal.close()

    run(test())


def test_the_demos_children_end_with_a_demo_that_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        terminal = demo(tmp_path, 3)
        try:
            await terminal.until("x break")
            children = _children(terminal.pid)
        finally:
            terminal.close()  # SIGKILL
        while [pid for pid in children if _runs(pid)]:
            await asyncio.sleep(0.02)

    run(test())


def demo(folder: Path, boxes: int) -> Terminal:
    """With a socket of its own: two that begin at once beside each other would take the same one."""
    arguments = ["-m", "badgergap.cli", "demo", "--boxes", str(boxes)]
    return Terminal(arguments, BADGERGAP_SOCKET=str(folder / "demo.sock"))


def _children(pid: int) -> list[int]:
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(child) for child in text.split()]


def _runs(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False
