"""A real gateway process that is held up (SIGSTOP) while clients, discovery and endpoints go on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from badgergap.standins.box import Box, Job, Seen
from badgergap.standins.load import Kind
from badgergap.standins.platform import GatewayProcess, Platform, settings_of
from tests.sockets import Client, ask, run

KINDS = (
    Kind("look", "safe", 20.0, 20.0),
    Kind("pay", "keyed", 20.0, 20.0),
    Kind("buy", "unsafe", 20.0, 20.0),
)
CLIENTS = 12
GRACE_S = 0.5 + 0.05  # of a drain, as settings and protocol give it
LEAVE_SLACK_S = 0.1
HALF_REQUEST_S = 3.0
DEADLINE_SLACK_MS = 150
LONG_PART = 200_000  # bytes of half an answer: more than is held for a retry
SECOND_PART_S = 0.1
WORK_S = 0.02  # so that requests at the same time have connections to endpoints of their own


class World:
    """One gateway whose connections to endpoints are warm, and its clients."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.gateway: GatewayProcess = platform.gateways[0]

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.gateway.port))

    async def warm(self) -> list[Client]:
        """Clients with a kept connection; as many connections to endpoints rest behind them."""
        clients = [await self.connect() for _ in range(CLIENTS)]
        for _ in range(2):
            answers = await asyncio.gather(*(client.ask(ask()) for client in clients))
            assert [status for status, _, _ in answers] == [200] * CLIENTS
            await asyncio.sleep(0.05)
        return clients

    def seen(self, since: float = 0.0) -> list[Seen]:
        return [each for box in self.platform.boxes.values() for each in box.seen if each.at >= since]


@asynccontextmanager
async def world(folder: Path, kinds: Sequence[Kind] = KINDS, late_value: float = 1.0) -> AsyncIterator[World]:
    settings = settings_of(kinds, late_value=late_value)
    async with Platform(folder, kinds, settings=settings, work_s=WORK_S) as platform:
        yield World(platform)


async def leave(clients: Sequence[Client], how: str) -> None:
    for client in clients:
        if how == "reset":
            client.writer.transport.abort()
        else:
            client.writer.close()
    await asyncio.sleep(2 * LEAVE_SLACK_S)


# Guards against report c96572: requests were forwarded after their clients had left, by a gateway that was
# held up, and read each request before the close behind it.
@pytest.mark.parametrize("klass", ["look", "pay", "buy"])
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_who_left_while_the_gateway_was_held_up_is_not_forwarded(
    kept: bool, how: str, klass: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            if not kept:
                clients = [await it.connect() for _ in range(CLIENTS)]
            asked_at = time.monotonic()
            for client in clients:
                client.send(ask(klass, Request_Timeout_Ms="80"))
            await asyncio.sleep(0.08)
            await leave(clients, how)
            it.gateway.go_on()
            other = await it.connect()
            assert (await other.ask(ask(Request_Id="stays")))[0] == 200  # the gateway serves again
            assert [each.id for each in it.seen(asked_at) if each.id != "stays"] == []

    run(test())


# Guards against a drain that stands unread behind requests: the endpoint got them beyond its grace.
def test_a_drain_told_while_the_gateway_was_held_up_is_heeded(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            for client in clients:
                client.send(ask())
            await asyncio.sleep(0.05)
            told_at = it.platform.tell("b0", "leaving")
            await asyncio.sleep(GRACE_S + 0.2)
            it.gateway.go_on()
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [status for status, _, _ in answers] == [200] * CLIENTS
            late = [each for each in it.platform.boxes["b0"].seen if each.at > told_at + GRACE_S]
            assert late == []

    run(test())


# Guards against a drain that is announced while the watch is lost, both in one hold-up: until the new watch
# had brought it, the endpoint got requests beyond its grace.
def test_a_drain_told_behind_a_lost_watch_while_the_gateway_was_held_up_is_heeded(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            it.platform.registry.cut()
            told_at = it.platform.tell("b0", "leaving")
            await asyncio.sleep(GRACE_S + 0.2)
            for client in clients:
                client.send(ask())
            await asyncio.sleep(0.05)
            it.gateway.go_on()
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [status for status, _, _ in answers] == [200] * CLIENTS
            late = [each for each in it.platform.boxes["b0"].seen if each.at > told_at + GRACE_S]
            assert late == []

    run(test())


# Guards against time that counts from when a request was read: endpoints were told more than was left.
@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_the_deadline_passed_on_counts_from_when_the_request_came(kept: bool, tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            if not kept:
                clients = [await it.connect() for _ in range(CLIENTS)]
            asked_at = time.monotonic()
            for client in clients:
                client.send(ask(Request_Timeout_Ms="2000"))
            await asyncio.sleep(0.6)
            it.gateway.go_on()
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [status for status, _, _ in answers] == [200] * CLIENTS
            seen = it.seen(asked_at)
            assert len(seen) >= CLIENTS
            for each in seen:
                left_ms = 2000 - (each.at - asked_at) * 1000
                assert each.timeout_ms <= left_ms + DEADLINE_SLACK_MS

    run(test())


# Guards against a request whose client's time was over before it was read: nobody would take its answer.
def test_what_is_out_of_time_once_it_is_read_is_answered_and_not_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            asked_at = time.monotonic()
            for client in clients:
                client.send(ask(Request_Timeout_Ms="200"))
            await asyncio.sleep(0.4)
            it.gateway.go_on()
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [status for status, _, _ in answers] == [503] * CLIENTS
            assert it.seen(asked_at) == []

    run(test())


# Guards against attempts that time out while their answers stand unread: what was served was answered as
# failed, and the endpoints were blamed for it.
def test_answers_that_came_while_the_gateway_was_held_up_are_taken(tmp_path: Path) -> None:
    async def test() -> None:
        # Attempts are given up shortly before 0.5 s, their clients wait for 3 s.
        async with world(tmp_path, [Kind("look", "safe", 0.5, 3.0)], late_value=0.0) as it:
            clients = await it.warm()
            for box in it.platform.boxes.values():
                box.default_work_s = 0.2
            for client in clients:
                client.send(ask(Request_Timeout_Ms="3000"))
            await asyncio.sleep(0.1)
            await it.gateway.hold_up(0.8)
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [status for status, _, _ in answers] == [200] * CLIENTS

    run(test())


class LongAnswerBox(Box):
    """A box that gives its answers in two parts, the second one a while after the first."""

    def finish(self, job: Job) -> None:
        transport = job.connection.transport
        if job.connection.turn != job.turn or transport is None:
            return
        job.connection.turn += 1
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * LONG_PART)
        transport.write(head + bytes(LONG_PART))
        asyncio.get_running_loop().call_later(SECOND_PART_S, transport.write, bytes(LONG_PART))


# Guards against a long answer that is cut off: its beginning stood unread as its attempt timed out, was read
# and passed on, and the attempt was given up all the same.
def test_a_long_answer_that_began_while_the_gateway_was_held_up_is_passed_on_whole(tmp_path: Path) -> None:
    async def test() -> None:
        kinds = [Kind("look", "safe", 0.5, 3.0)]
        settings = settings_of(kinds, late_value=0.0)
        platform = Platform(tmp_path, kinds, settings=settings, work_s=WORK_S)
        platform.boxes = {
            name: LongAnswerBox(name, default_work_s=WORK_S, cores=256) for name in platform.boxes
        }
        async with platform:
            it = World(platform)
            clients = await it.warm()
            for box in platform.boxes.values():
                box.default_work_s = 0.2
            for client in clients:
                client.send(ask(Request_Timeout_Ms="3000"))
            await asyncio.sleep(0.1)
            await it.gateway.hold_up(0.8)
            answers = await asyncio.gather(*(client.answer() for client in clients))
            assert [(status, len(body)) for status, _, body in answers] == [(200, 2 * LONG_PART)] * CLIENTS

    run(test())


# Guards against time limits that count from when bytes were read: a client that stops in the middle of a
# request heard its error later than the 3 s that it is owed.
@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_half_a_request_read_late_has_its_error_in_time(kept: bool, tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            clients = await it.warm()
            it.gateway.stop()
            client = clients[0] if kept else await it.connect()
            asked_at = time.monotonic()
            client.send(ask()[:-20])
            await asyncio.sleep(1.2)
            it.gateway.go_on()
            assert (await client.answer())[0] == 408
            assert time.monotonic() - asked_at < HALF_REQUEST_S

    run(test())


# Guards against a limit that is enforced while what it waits for stands unread.
def test_the_rest_of_a_request_that_stands_unread_has_come(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as it:
            client = await it.connect()
            data = ask()
            client.send(data[:-20])
            await asyncio.sleep(2.0)
            it.gateway.stop()
            client.send(data[-20:])
            await asyncio.sleep(0.8)
            it.gateway.go_on()
            assert (await client.answer())[0] == 200

    run(test())
