"""What operators change while a process takes over from another; each crossing is forced by a relay."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.hot_restart.relay import TO_NEW, TO_OLD, Relay
from tests.hot_restart.test_coordinator import Process, Site, site
from tests.proxy.commands.test_commands import send_command
from tests.proxy.lifecycle.test_process import wait_for_log
from tests.sockets import ask, chunk, entry, news, run

Address = tuple[str, int]
APPLIED_S = 0.5  # the grace of a drain: a change that came with the take-over applies within it
# The command before, the command during the take-over, and what PING of the new process then says.
CHANGES = [
    (b"", b"DETACH h0\n", b"1 out by hand"),
    (b"DETACH h0\n", b"ATTACH h0\n", b"0 out by hand"),
    (b"", b"LAMEDUCK\n", b"was told to send clients away"),
    (b"LAMEDUCK\n", b"REJOIN\n", b", takes clients,"),
]


async def says(address: Address, text: bytes) -> bool:
    """Whether PING says this within APPLIED_S."""
    loop = asyncio.get_running_loop()
    until = loop.time() + APPLIED_S
    while text not in await send_command(address, b"PING\n"):
        if loop.time() > until:
            return False
        await asyncio.sleep(0.005)
    return True


async def end(process: Process) -> None:
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def start_beside(
    it: Site, address: Address, relay: Relay, direction: int, command: bytes
) -> tuple[Process, Address]:
    """Start the next process; the command comes while what it sends, or is sent, is held."""
    if direction == TO_NEW:
        relay.hold(TO_NEW)
    else:
        relay.hold_after_next(TO_OLD)  # the request for the state
    starting = asyncio.create_task(it.start())
    await relay.arrived[direction].wait()
    assert (await send_command(address, command)).startswith(b"ok ")
    relay.release(direction)
    return await starting


@pytest.mark.parametrize("direction", [TO_NEW, TO_OLD], ids=["state held", "take-over held"])
@pytest.mark.parametrize(("before", "command", "expected"), CHANGES)
def test_a_command_between_the_export_of_the_state_and_the_take_over_is_not_lost(
    before: bytes, command: bytes, expected: bytes, direction: int, tmp_path: Path
) -> None:
    """The new process was told of commands once it had the clients, and not between its state and that."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, address = await it.start()
            if before:
                assert (await send_command(address, before)).startswith(b"ok ")
            with Relay(it.folder) as relay:
                _, second = await start_beside(it, address, relay, direction, command)
                assert await says(second, expected)
                await end(old)
                assert await says(second, expected)
                if command.startswith(b"DETACH"):
                    client = await it.client()
                    for _ in range(20):
                        assert (await client.ask(ask()))[0] == 200
                    assert not it.endpoints[0].ran

    run(test())


async def unused(it: Site, requests: int = 30) -> bool:
    """Whether the first endpoint gets none of these requests, while another one serves them."""
    await asyncio.sleep(APPLIED_S)
    before = len(it.endpoints[0].times)
    for _ in range(requests):
        assert (await (await it.client()).ask(ask()))[0] == 200
    return len(it.endpoints[0].times) == before


def test_a_list_that_the_old_process_receives_before_the_take_over_reaches_the_new_one(
    tmp_path: Path,
) -> None:
    """The new process had the list as it was exported: a drain that discovery told the old one was lost."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, _ = await it.start()
            _, watch = await it.registry.watches.get()
            with Relay(it.folder) as relay:
                relay.hold(TO_NEW)
                starting = asyncio.create_task(it.start())
                await relay.arrived[TO_NEW].wait()
                watch.write(chunk(news(entry("h0", it.endpoints[0].address, "leaving"), index=8)))
                await wait_for_log(old, b"version 8 after 7")
                relay.release(TO_NEW)
                await starting
                await end(old)
                assert await unused(it)

    run(test())


def test_a_list_that_the_new_process_has_received_is_known_to_the_old_one_that_takes_the_clients_again(
    tmp_path: Path,
) -> None:
    """Discovery told only the process that then died: the old one sent to a draining endpoint again."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, _ = await it.start()
            await it.registry.watches.get()
            new, address = await it.start()
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h0", it.endpoints[0].address, "leaving"), index=8)))
            await wait_for_log(new, b"version 8 after 7")
            await send_command(address, b"PING\n")  # answered after the message has been handled
            new.kill()
            await wait_for_log(old, b"taken here again")
            assert await unused(it)

    run(test())


@pytest.mark.parametrize("old_ends_first", [False, True])
def test_a_start_that_another_one_has_overtaken_takes_over_from_that_one(
    old_ends_first: bool, tmp_path: Path
) -> None:
    """Its take-over was ignored: it served beside the other one, and neither was told of commands."""

    async def test() -> None:
        async with site(tmp_path) as it:
            old, _ = await it.start()
            with Relay(it.folder) as relay:
                relay.hold_after_next(TO_OLD)
                starting = asyncio.create_task(it.start())
                await relay.arrived[TO_OLD].wait()  # it asks for the clients
                relay.step_aside()
                _, second = await it.start()
                assert (await send_command(second, b"DETACH h0\n")).startswith(b"ok ")
                if old_ends_first:
                    await end(old)
                else:
                    relay.release(TO_OLD)
                _, late = await starting
                if not old_ends_first:
                    await end(old)
            assert await says(late, b"1 out by hand")
            for address, command, expected in (
                (second, b"ATTACH h0\n", b"0 out by hand"),
                (late, b"DETACH h0\n", b"1 out by hand"),
                (second, b"LAMEDUCK\n", b"was told to send clients away"),
                (late, b"REJOIN\n", b", takes clients,"),
            ):
                assert (await send_command(address, command)).startswith(b"ok ")
                for each in (second, late):
                    assert await says(each, expected)
            assert await unused(it)

    run(test())
