"""A move of discovery, by SIGHUP, before and while another process takes over."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.hot_restart.relay import TO_NEW, TO_OLD, Relay
from tests.hot_restart.test_coordinator import Process, Site, site
from tests.hot_restart.test_state_sync import end
from tests.proxy.lifecycle.test_process import wait_for_log
from tests.sockets import Registry, chunk, entry, news, run

Watch = tuple[str, asyncio.StreamWriter]


@asynccontextmanager
async def moved_site(tmp_path: Path) -> AsyncIterator[tuple[Site, Registry, dict[str, str]]]:
    """A site with another discovery, and the environment that names the first one."""
    async with site(tmp_path) as it:
        other = Registry()
        await other.start()
        try:
            yield it, other, {"ROUTER_DISCOVERY": it.registry.address}
        finally:
            other.stop()


def name_in_file(it: Site, registry: Registry) -> None:
    """Name a discovery in the file of the configuration."""
    raw = json.loads(it.path.read_text())
    it.path.write_text(json.dumps({**raw, "discovery": registry.address}))


async def move(it: Site, process: Process, registry: Registry) -> None:
    name_in_file(it, registry)
    process.send_signal(signal.SIGHUP)
    await wait_for_log(process, b"discovery has moved")


async def watch_of(it: Site, registry: Registry) -> Watch:
    """Return the next watch, and list all endpoints on it as version 3."""
    first, writer = await registry.watches.get()
    endpoints = [entry(f"h{number}", each.address) for number, each in enumerate(it.endpoints)]
    writer.write(chunk(news(*endpoints, index=3, snapshot=True)))
    return first, writer


# Guards against review/9: a process that took over followed the address in its environment again, which had
# been given up, and sent to a drained endpoint for as long as it ran.
def test_a_process_that_takes_over_follows_discovery_to_where_it_has_moved(tmp_path: Path) -> None:
    async def test() -> None:
        async with moved_site(tmp_path) as (it, other, environ):
            serving, _ = await it.start(**environ)
            await it.registry.watches.get()
            await move(it, serving, other)
            await watch_of(it, other)
            await wait_for_log(serving, b"version 3 after 0")
            it.registry.stop()
            for _ in range(2):  # twice in a row
                new, _ = await it.start(**environ)
                await end(serving)
                serving = new
                first, _ = await watch_of(it, other)
                assert "index=3" in first

    run(test())


@pytest.mark.parametrize("direction", [TO_NEW, TO_OLD], ids=["state held", "take-over held"])
def test_a_move_of_discovery_in_a_hot_restart_is_followed_by_the_new_process(
    direction: int, tmp_path: Path
) -> None:
    async def test() -> None:
        async with moved_site(tmp_path) as (it, other, environ):
            old, _ = await it.start(**environ)
            await it.registry.watches.get()
            with Relay(it.folder) as relay:
                if direction == TO_NEW:
                    relay.hold(TO_NEW)
                else:
                    relay.hold_after_next(TO_OLD)
                starting = asyncio.create_task(it.start(**environ))
                await relay.arrived[direction].wait()
                await move(it, old, other)
                await watch_of(it, other)
                relay.release(direction)
                await starting
                await end(old)
                await watch_of(it, other)

    run(test())


# An address of their own that the platform or the operator gives to the new process goes before it.
@pytest.mark.parametrize("named_in", ["variable", "file"])
def test_a_newer_address_of_the_new_process_is_followed_from_version_0(named_in: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with moved_site(tmp_path) as (it, other, environ):
            old, _ = await it.start(**environ)
            await watch_of(it, it.registry)
            await wait_for_log(old, b"version 3 after 7")
            if named_in == "file":
                name_in_file(it, other)
            else:
                environ = {"ROUTER_DISCOVERY": other.address}
            await it.start(**environ)
            await end(old)
            first, _ = await watch_of(it, other)
            assert "index=0" in first

    run(test())
