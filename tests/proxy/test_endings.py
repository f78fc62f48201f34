"""Races at the end of requests, connections and processes: each pending request is answered exactly once."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from badgergap.balancing.interface import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    RequestArrived,
    TimerFired,
    WatchEndpoints,
)
from badgergap.balancing.retry_policy import RetryPolicy
from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import HOLD
from badgergap.proxy.downstream import client_connection, listener
from badgergap.proxy.endpoints import discovery
from badgergap.proxy.limits import eviction
from badgergap.proxy.requests import AttemptListener
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.replication.keyed_attempt import PendingAttempt
from tests.proxy.lifecycle.test_process import process, wait_for_log
from tests.proxy.test_gateway import block_connects
from tests.sockets import (
    Client,
    Gateway,
    Host,
    ask,
    chunk,
    class_settings,
    configuration,
    entry,
    gateway,
    news,
    run,
    settings,
)

RETRY_CAPS: dict[str, object] = {"maxAttempts": 4}


def assert_nothing_left(it: Gateway) -> None:
    """Assert that no request, id, attempt or buffered byte is left."""
    assert not it.proxy.requests and it.proxy.open_requests == 0 and not it.downstream.validator.ids.open
    assert it.proxy.balancer.in_flight == 0 and not it.proxy.balancer.requests
    assert it.downstream.budget.used == 0
    assert not any(c.exchange is not None for c in it.proxy.upstream.connections)


def pause_clients(it: Gateway) -> list[client_connection.ClientConnection]:
    """Pause all client connections, as if the event loop were busy: received data stays in the sockets."""
    held = list(it.downstream.connections)
    for connection in held:
        assert connection.transport is not None
        connection.transport.pause_reading()
    return held


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.001)


async def settled(it: Gateway) -> None:
    """Wait until all requests have ended."""
    await until(lambda: not it.proxy.requests and not it.proxy.balancer.requests)


# Clients that disconnect while their request waits


@pytest.mark.parametrize("klass", ["look", "pay", "buy"])
@pytest.mark.parametrize("cancels", [True, False])
@pytest.mark.parametrize("left", [True, False])
def test_attempt_waiting_for_a_connection_is_not_sent_after_its_request_ended(
    klass: str, cancels: bool, left: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against forwarding a request after its final answer, where settings forbid cancelling."""

    async def test() -> None:
        async with gateway(settings=settings(mayCancel=cancels)) as it:
            free = block_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask(klass))
            await it.event(RequestArrived)
            (request,) = it.proxy.requests.values()
            if left:
                client.writer.close()
                await it.event(ClientDisconnected)
            else:
                it.proxy.answer_at_deadline(request)
                assert (await client.answer())[0] == 504
            free.set()
            ended = await it.event(AttemptEnded)
            assert ended.outcome is (Outcome.CANCELLED if cancels else Outcome.NEVER_SENT)
            await settled(it)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("body", [0, HOLD + 20_000])
@pytest.mark.parametrize("reset", [True, False])
def test_disconnect_of_a_paused_client_is_noticed(
    body: int, reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close follows a body that is not read yet, or pipelined requests."""
    monkeypatch.setattr(listener, "CLEANUP_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway() as it:
            free = block_connects(it, monkeypatch)
            client = await it.client()
            data = ask("buy", body=bytes(body))
            client.send(data[:-20_000] if body else data + ask("buy"))
            await it.event(RequestArrived)
            (connection,) = it.downstream.connections
            if body:
                await until(lambda: connection.read_paused)
                client.send(data[-20_000:])
                await client.writer.drain()
            if reset:
                client.writer.transport.abort()
            else:
                client.writer.close()
            await it.event(ClientDisconnected)
            free.set()
            await settled(it)
            await until(lambda: not it.downstream.connections)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


def test_no_retry_for_a_client_whose_close_is_not_read_yet() -> None:
    async def test() -> None:
        async with gateway(hosts=2, settings=settings(**RETRY_CAPS)) as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            (connection,) = pause_clients(it)
            client.writer.close()
            await until(lambda: unread_input.peer_has_closed(connection.transport))
            taken.answer(500)
            await it.event(ClientDisconnected)
            await settled(it)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("klass", ["look", "buy"])
def test_no_attempt_after_the_client_disconnected(klass: str) -> None:
    """Neither a retry after a failed or rejected attempt, nor a pipelined request."""

    async def test() -> None:
        async with gateway(hosts=2, settings=settings(**RETRY_CAPS, mayCancel=False)) as it:
            client = await it.client()
            client.send(ask(klass) + ask(klass))
            taken = await it.host.taken.get()
            client.writer.close()
            await it.event(ClientDisconnected)
            taken.answer(503, Not_Started="1")
            assert (await it.event(AttemptEnded)).outcome is Outcome.REJECTED
            await settled(it)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


# Guards against a deadline computed before the connection was established: the endpoint was given more time
# than its client had left.
@pytest.mark.parametrize("waited_s", [0.0, 0.4])
def test_forwarded_deadline_is_the_time_left_after_connecting(
    waited_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway() as it:
            free = block_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask(Request_Timeout_Ms="2000"))
            await it.event(RequestArrived)
            await asyncio.sleep(waited_s)
            free.set()
            taken = await it.host.taken.get()
            assert 0 < int(taken.head["request-timeout-ms"]) <= 2000 - waited_s * 1000
            taken.answer()
            assert (await client.answer())[0] == 200

    run(test())


# Guards against the fallback 504 preceding an attempt's own timeout on an overloaded machine: the status must
# follow from the outcome of the attempt.
@pytest.mark.parametrize(("klass", "status"), [("look", 503), ("buy", 502)])
def test_at_the_deadline_the_attempt_times_out_first(klass: str, status: int) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask(klass))
            await it.host.taken.get()
            (request,) = it.proxy.requests.values()
            request.deadline_us = it.proxy.clock.now_us()
            it.proxy.answer_at_deadline(request)
            assert (await client.answer())[0] == status
            assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT
            await settled(it)
            assert_nothing_left(it)

    run(test())


# Closing an idle connection while a request arrives


async def by_time(it: Gateway) -> None:
    for connection in list(it.downstream.connections):
        connection.check_time(it.downstream.loop.time() + 60.0)


async def by_crowd(it: Gateway) -> None:
    it.downstream.evict_one()


async def by_rest(it: Gateway) -> None:
    (connection,) = it.downstream.connections
    it.downstream.idle_capacity = 0
    it.downstream.on_idle(connection)


async def by_drain_of_the_gateway(it: Gateway) -> None:
    it.downstream.enter_lame_duck(since_s=3.0)


async def by_end(it: Gateway) -> None:
    it.downstream.draining = True
    ending = asyncio.get_running_loop().create_task(it.downstream.finish_requests())
    await asyncio.sleep(0)
    assert not ending.done()


CLOSES = [by_time, by_crowd, by_rest, by_drain_of_the_gateway, by_end]


@pytest.mark.parametrize("close", CLOSES)
@pytest.mark.parametrize("crossing", [True, False])
def test_close_does_not_race_with_a_received_request(close: Any, crossing: bool) -> None:
    """The event loop runs timers before it reads: closing would reset a request still in the socket."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (connection,) = pause_clients(it)
            if crossing:
                client.send(ask())
                await until(lambda: not unread_input.is_quiet(connection.transport))
            await close(it)
            assert connection.transport is not None
            assert connection.transport.is_closing() is not crossing
            if crossing:
                connection.transport.resume_reading()
                if close is by_drain_of_the_gateway:  # too late in the drain to be served
                    assert (await client.answer())[0] == 503
                else:
                    (await it.host.taken.get()).answer()
                    assert (await client.answer())[0] == 200
            else:
                assert await client.closed()

    run(test())


# Shutdown of the process


def test_queued_connections_are_accepted_before_the_listener_closes() -> None:
    """Guards against resetting connections, and requests on them, that the kernel has already accepted."""

    async def test() -> None:
        async with gateway() as it:
            it.downstream.draining = True
            assert it.downstream.socket is not None
            address = it.downstream.socket.getsockname()
            it.downstream.stop_listening()  # as if the event loop had no time to accept
            waiting = []
            for _ in range(3):
                client = Client(*await asyncio.open_connection(*address))
                client.send(ask())
                waiting.append(client)
            await it.downstream.accept_queued()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*address)
            for _ in waiting:
                (await it.host.taken.get()).answer()
            for client in waiting:
                status, head, _ = await client.answer()
                assert status == 200 and head["connection"] == "close"
            await it.downstream.finish_requests()

    run(test())


@pytest.mark.parametrize("early", [True, False])
@pytest.mark.parametrize("klass", ["look", "buy"])
def test_all_requests_are_answered_before_the_process_may_be_killed(
    klass: str, early: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against SIGKILL hitting an open request whose deadline is after the end of the shutdown."""
    monkeypatch.setattr(eviction, "MAX_DEADLINE_S", 0.3)
    monkeypatch.setattr(eviction, "KILL_DELAY_S", 0.6)

    async def test() -> None:
        async with gateway() as it:
            loop = asyncio.get_running_loop()
            client = await it.client()
            if early:
                client.send(ask(klass))
                await it.host.taken.get()
            signalled_at = loop.time()
            end = loop.create_task(it.downstream.drain())
            await asyncio.sleep(0)
            if not early:
                client.send(ask(klass))
                await it.host.taken.get()
            request = next(iter(it.proxy.requests.values()))
            left_s = (request.deadline_us - it.proxy.clock.now_us()) / 1e6
            assert (
                left_s
                <= eviction.kill_after_s(60.0) - eviction.LAST_ANSWER_S - (loop.time() - signalled_at) + 0.05
            )
            assert (await client.answer())[0] in ((503, 504) if klass == "look" else (502, 504))
            await end
            assert_nothing_left(it)

    run(test())


def test_connection_with_a_pipelined_request_is_not_idle() -> None:
    """Guards against a shutdown that closes the connection between two pipelined requests."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + ask())
            taken = await it.host.taken.get()
            (connection,) = it.downstream.connections
            it.downstream.partial_request_s = -1.0
            finished = connection.response_finished

            def crossed(incoming: Any) -> None:
                finished(incoming)
                assert connection.current is None and connection.pipeline
                end = it.downstream.finish_requests()
                end.send(None)  # runs to its first await at exactly this point
                end.close()

            monkey = pytest.MonkeyPatch()
            monkey.setattr(connection, "response_finished", crossed)
            taken.answer()
            assert (await client.answer())[0] == 200
            monkey.undo()
            (await it.host.taken.get()).answer()
            assert (await client.answer())[0] == 200

    run(test())


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_loses_no_request_in_any_state(number: signal.Signals, tmp_path: Path) -> None:
    async def test() -> None:
        host = Host()
        async with process(host, tmp_path) as (child, port):
            clients = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(5)]
            held, ahead, half, kept, new = clients
            kept.send(ask())
            (await host.taken.get()).answer()
            assert (await kept.answer())[0] == 200
            held.send(ask())
            first = await host.taken.get()
            ahead.send(ask() + ask())
            second = await host.taken.get()
            rest = ask("buy", body=b"x" * 100)
            half.send(rest[:-50])
            child.send_signal(number)
            kept.send(ask())
            new.send(ask())
            half.send(rest[-50:])
            others = [await host.taken.get() for _ in range(3)]
            for taken in (first, second, *others):
                taken.answer()
            (await host.taken.get()).answer()  # the pipelined one
            for client in (*clients, ahead):
                assert (await client.answer())[0] == 200
            child.send_signal(signal.SIGTERM)
            assert await child.wait() == 0

    run(test())


# Endpoints that drain between two steps of an attempt


@pytest.mark.parametrize("how", ["leaving", "left", "moved"])
def test_drain_between_endpoint_selection_and_sending(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway(settings=settings(**RETRY_CAPS)) as it:
            _, watch = await it.registry.watches.get()
            free = block_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask("buy"))
            await it.event(RequestArrived)
            change = entry("h0", "127.0.0.1:9") if how == "moved" else entry("h0", it.host.address, how)
            host = next(iter(it.proxy.upstream.endpoints.values()))
            watch.write(chunk(news(change)))
            await until(lambda: host.stop_at is not None)
            free.set()
            assert (await it.event(AttemptEnded)).outcome is Outcome.NEVER_SENT
            assert (await client.answer())[0] == 503 and it.host.taken.empty()
            await settled(it)
            assert_nothing_left(it)

    run(test())


def test_end_of_stream_after_data_is_distinguished_from_data() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await until(lambda: bool(it.downstream.connections))
            (connection,) = pause_clients(it)
            assert unread_input.is_quiet(connection.transport) and not unread_input.peer_has_closed(
                connection.transport
            )
            client.send(b"G")
            await until(lambda: not unread_input.is_quiet(connection.transport))
            assert not unread_input.peer_has_closed(connection.transport)
            client.writer.write_eof()
            await until(lambda: unread_input.peer_has_closed(connection.transport))
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
            connection.abort()
            assert unread_input.peer_has_closed(connection.transport) and not unread_input.is_quiet(
                connection.transport
            )

    run(test())


# A second response of an endpoint, some milliseconds later


@pytest.mark.parametrize("taken_again", [True, False])
def test_late_second_response_is_not_the_response_to_the_next_request(taken_again: bool) -> None:
    """Guards against immediate reuse of a connection: the second response went to another client."""

    async def test() -> None:
        async with gateway(reuse_delay_s=60.0) as it:
            client = await it.client()
            client.send(ask())
            first = await it.host.taken.get()
            first.answer(body=b"first")
            assert (await client.answer())[2] == b"first"
            if not taken_again:
                first.answer(body=b"first")
                await it.host.left.get()
                assert not it.proxy.upstream.connections
            client.send(ask("buy"))
            second = await it.host.taken.get()
            if taken_again:
                first.answer(body=b"first")
                await it.host.left.get()
            second.answer(body=b"second")
            assert (await client.answer())[2] == b"second" and it.host.connections == 2
            (connection,) = it.proxy.upstream.connections
            it.proxy.upstream.reuse_delay_s = 0.0
            await it.served(client)
            assert list(it.proxy.upstream.connections) == [connection]
            assert_nothing_left(it)

    run(test())


def test_recently_used_connection_is_reused_at_the_connection_limit() -> None:
    async def test() -> None:
        async with gateway(reuse_delay_s=60.0) as it:
            client = await it.client()
            await it.served(client)
            it.proxy.upstream.limit = 1
            await it.served(client)
            assert it.host.connections == 1

    run(test())


@pytest.mark.parametrize("says", [True, False])
def test_gateway_with_a_pushed_list_is_ready_once_the_list_is_current(
    says: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new process that takes the older list it starts with for the current one."""
    monkeypatch.setattr(discovery, "FIRST_MESSAGE_S", 60.0)

    async def test() -> None:
        async with gateway(settings={**settings(), "membershipMode": "pushed"}) as it:
            _, watch = await it.registry.watches.get()
            client = await it.client()
            ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
            assert (await client.ask(ready))[0] == 503
            assert it.proxy.directory.discovery is not None
            if says:
                watch.write(chunk(news(index=8)))
                await until(
                    lambda: it.proxy.directory.discovery is not None
                    and it.proxy.directory.discovery.index == 8
                )
            else:
                it.proxy.directory.discovery.current_at = (
                    it.proxy.loop.time()
                )  # the wait for the list has expired
            assert (await client.ask(ready))[0] == 200

    run(test())


def started(path: Path, held: str, number: signal.Signals) -> Any:
    """Start a process that sends itself a signal during startup, when it calls `held` (module:name)."""
    module, _, name = held.partition(":")
    code = (
        "import os, badgergap.__main__ as m\n"
        f"import {module} as c\n"
        f"owner, _, name = {name!r}.rpartition('.')\n"
        "at = getattr(c, owner) if owner else c\n"
        "done = getattr(at, name)\n"
        "def held(*args, **more):\n"
        "    setattr(at, name, done)\n"
        f"    os.kill(os.getpid(), {int(number)})\n"
        "    return done(*args, **more)\n"
        "setattr(at, name, held)\n"
        "raise SystemExit(m.main())\n"
    )
    environ = {**os.environ, "ROUTER_CONFIG": str(path)}
    return asyncio.create_subprocess_exec(
        sys.executable, "-c", code, env=environ, stderr=asyncio.subprocess.PIPE
    )


# The function during whose call the signal arrives, and the exit code of the process.
STARTS = [
    ("badgergap.proxy.lifecycle.config:load_config", -signal.SIGTERM),
    ("badgergap.proxy.lifecycle.process:gc.freeze", -signal.SIGTERM),
    ("badgergap.proxy.lifecycle.process:Proxy", 0),
    ("badgergap.proxy.lifecycle.process:Downstream.start", 0),
    ("badgergap.proxy.lifecycle.process:Reloader", 0),
]


@pytest.mark.parametrize(("held", "code"), STARTS, ids=[held.rpartition(":")[2] for held, _ in STARTS])
def test_sigterm_during_startup_ends_the_process_without_clients(
    held: str, code: int, tmp_path: Path
) -> None:
    """Before its signal handler is set it has accepted no client; after that it shuts down gracefully."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1", listen=listen)))
        child = await started(path, held, signal.SIGTERM)
        try:
            assert await child.wait() == code
            said = (await child.stderr.read()).decode()
            assert ("listens on" in said) is (code == 0) and "Traceback" not in said
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()

    run(test())


def test_sighup_during_startup_reloads_the_configuration(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the process before the event loop handles it."""

    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
        child = await started(path, "badgergap.proxy.lifecycle.config:load_config", signal.SIGHUP)
        try:
            await wait_for_log(child, b"the configuration was read again")
            child.send_signal(signal.SIGTERM)
            assert await child.wait() == 0
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()

    run(test())


# UNSAFE requests, and timeouts that race with a response

WHOLE = b"HTTP/1.1 200 Any\r\nContent-Length: 4\r\n\r\n"
# Response of the endpoint to a complete request, whether it closes then, and whether a retry is allowed.
ENDS: list[tuple[str, bytes, bool, bool]] = [
    ("rejected", b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", False, True),
    ("rejected and closed", b"HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", True, True),
    ("failed", b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", False, False),
    ("closed without response", b"", True, False),
    ("truncated head", b"HTTP/1.1 200 An", True, False),
    ("truncated after its head", WHOLE, True, False),
    ("truncated body", WHOLE + b"ab", True, False),
    ("503 without Not-Started", b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", False, False),
    ("noise", b"\0\1\2\r\n\r\n", False, False),
]


@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize(("says", "closes", "again"), [end[1:] for end in ENDS], ids=[e[0] for e in ENDS])
def test_unsafe_request_is_retried_only_if_it_was_not_executed(
    says: bytes, closes: bool, again: bool, reset: bool
) -> None:
    async def test() -> None:
        async with gateway(hosts=3, settings=settings(**RETRY_CAPS, secondCopies=True)) as it:
            client = await it.client()
            client.send(ask("buy", body=b"x" * 100))
            taken = await it.host.taken.get()
            assert it.proxy.balancer.in_flight == 1
            taken.raw(says)
            if closes:
                await taken.writer.drain()
                if reset:
                    taken.writer.transport.abort()
                else:
                    taken.writer.close()
            if again:
                second = await it.host.taken.get()
                assert (
                    second.head["request-id"] == taken.head["request-id"] and it.proxy.balancer.in_flight == 1
                )
                second.answer()
                assert (await client.answer())[0] == 200
            else:
                assert (await client.answer())[0] == 502
            await settled(it)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("klass", ["look", "buy"])
@pytest.mark.parametrize("order", ["answer first", "time first", "time over a reused connection"])
def test_timeout_races_with_the_response(klass: str, order: str) -> None:
    """One final answer in either order, and no stale timer affects the next request."""

    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=1)) as it:
            client = await it.client()
            client.send(ask(klass))
            taken = await it.host.taken.get()
            (connection,) = it.proxy.upstream.connections
            exchange = connection.exchange
            assert exchange is not None and connection.transport is not None
            if order == "time first":
                connection.transport.pause_reading()  # the response has arrived, but the timeout fires first
                taken.answer()
                await until(lambda: not unread_input.is_quiet(connection.transport))
                exchange.give_up(Outcome.TIMEOUT)
                assert (await client.answer())[0] == (503 if klass == "look" else 502)
                await it.host.left.get()
            else:
                taken.answer()
                assert (await client.answer())[0] == 200
                if order == "answer first":
                    exchange.give_up(Outcome.TIMEOUT)
            client.send(ask(klass))
            again = await it.host.taken.get()
            if order == "time over a reused connection":
                assert list(it.proxy.upstream.connections) == [connection]
                exchange.give_up(Outcome.TIMEOUT)  # the timer of the first request, which has ended
            again.answer(body=b"mine")
            assert (await client.answer())[::2] == (200, b"mine")
            await settled(it)
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("reset", [True, False])
def test_response_and_close_of_its_connection_in_one_read(reset: bool) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy"))
            taken = await it.host.taken.get()
            (connection,) = it.proxy.upstream.connections
            assert connection.transport is not None
            connection.transport.pause_reading()
            taken.answer(body=b"whole")
            await taken.writer.drain()
            if reset:
                taken.writer.transport.abort()
            else:
                taken.writer.close()
            await until(lambda: unread_input.peer_has_closed(connection.transport))
            connection.transport.resume_reading()
            assert (await client.answer())[::2] == (200, b"whole")
            await settled(it)
            assert not it.proxy.upstream.connections
            assert_nothing_left(it)

    run(test())


def test_attempt_waiting_for_its_replicas_is_not_sent_after_its_request_ended() -> None:
    async def test() -> None:
        outcomes: list[Outcome] = []
        over: list[bool] = []
        upstream = Upstream(
            asyncio.get_running_loop(), connections=1, connect_timeout_us=0, idle_us=0, drain_grace_us=0
        )
        keyed_request = SimpleNamespace(
            loop=upstream.loop, idempotent=SimpleNamespace(attempt_over=over.append, launch=lambda *_: None)
        )
        attempt_listener = SimpleNamespace(on_ended=lambda outcome, answer: outcomes.append(outcome))
        begun: list[float] = []

        def begin(left_s: float, recorder: AttemptListener) -> Any:
            begun.append(left_s)

        held = PendingAttempt(keyed_request, upstream, 9.0, attempt_listener, begin)  # type: ignore[arg-type]
        held.prevent_start()
        held.go(True)
        assert outcomes == [Outcome.NEVER_SENT] and over == [False] and not begun

    run(test())


# Delays by the balancer


def lanes(**changed: object) -> dict[str, object]:
    return settings(**RETRY_CAPS, secondCopies=True) | {
        "lanes": [{**class_settings("look", "free"), **changed}],
        "contract": {"mustAskInUs": 100_000, "stopSendingWithinUs": 0, "keyQuietUs": 0},
    }


@pytest.mark.parametrize("leaves", [True, False])
def test_no_hedged_request_for_a_disconnected_client(leaves: bool) -> None:
    async def test() -> None:
        async with gateway(hosts=3, settings=lanes(aimUs=200_000) | {"caps": {"mayCancel": False}}) as it:
            it.proxy.settings = replace(it.proxy.settings, hedging_allowed=True, max_attempts=4)
            it.proxy.balancer.lifecycle.policy = RetryPolicy.from_settings(it.proxy.settings)
            client = await it.client()
            client.send(ask())
            first = await it.host.taken.get()
            if leaves:
                client.writer.close()
                await it.event(ClientDisconnected)
            overdue = it.proxy.balancer.context.next_token - 1
            await it.event(TimerFired, lambda e: e.token == overdue)
            if leaves:
                first.answer()
                await settled(it)
                assert it.host.taken.empty()
            else:
                second = await it.host.taken.get()
                second.answer()
                assert (await client.answer())[0] == 200
                first.answer()
                await settled(it)
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("leaves", [True, False])
def test_queued_request_of_a_disconnected_client_is_not_sent(leaves: bool) -> None:
    async def test() -> None:
        async with gateway(hosts=2, settings=lanes(sequential=True, aimUs=4_000_000)) as it:
            one, two, three = [await it.client() for _ in range(3)]
            one.send(ask())
            first = await it.host.taken.get()
            two.send(ask())
            await until(lambda: it.proxy.open_requests == 2)
            three.send(ask(Request_Id="third"))
            await until(lambda: it.proxy.open_requests == 3)
            if leaves:
                two.writer.close()
                await it.event(ClientDisconnected)
            first.answer()
            assert (await one.answer())[0] == 200
            if not leaves:
                (await it.host.taken.get()).answer()
                assert (await two.answer())[0] == 200
            last = await it.host.taken.get()
            assert last.head["request-id"] == "third"
            last.answer()
            assert (await three.answer())[0] == 200
            await settled(it)
            assert it.host.taken.empty() and not it.proxy.balancer.lifecycle.ordering.queues
            assert_nothing_left(it)

    run(test())


def test_endpoint_that_returns_under_its_name_is_new() -> None:
    """Its old connections belong to a process that has ended, and it needs to warm up again."""

    async def test() -> None:
        async with gateway(
            settings=settings()
            | {"contract": {"stopSendingWithinUs": 0, "warmAfterUs": 10**9, "startCapacity": 0.2}}
        ) as it:
            await it.registry.watches.get()
            it.proxy.carry_out(WatchEndpoints())
            _, watch = await it.registry.watches.get()
            client = await it.client()
            await it.served(client)
            (server,) = it.proxy.balancer.endpoints.values()
            assert (
                it.proxy.balancer.slow_start.capacity_fraction(server, it.proxy.balancer.context.now_us)
                == 1.0
            )
            now_ms = it.proxy.clock.now_us() // 1000
            watch.write(chunk(news(entry("h0", it.host.address, "left"))))
            watch.write(chunk(news(entry("h0", it.host.address, since_ms=now_ms), index=2)))
            await until(lambda: any(s.start_us for s in it.proxy.balancer.endpoints.values()))
            await it.host.left.get()
            (again,) = it.proxy.balancer.endpoints.values()
            assert (
                again is not server
                and it.proxy.balancer.slow_start.capacity_fraction(again, it.proxy.balancer.context.now_us)
                < 1.0
            )
            again.spent_us = 0.0
            await it.served(client)
            assert it.host.connections == 2

    run(test())


# Responses in transit


@pytest.mark.parametrize("how", ["close", "keep-alive"])
def test_connection_awaiting_its_last_response_is_not_evicted(how: str) -> None:
    """Guards against evicting it because, with "Connection: close", nothing more is read from it."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Connection=how))
            taken = await it.host.taken.get()
            assert not it.downstream.evict_one()
            it.downstream.connection_capacity = 0
            it.downstream.enforce_limits()
            taken.answer()
            assert (await client.answer())[0] == 200
            await settled(it)
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("how", ["close", "keep-alive"])
def test_connection_with_unsent_response_is_not_evicted(how: str) -> None:
    """Guards against an eviction that drops the part of a written response still in the process."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Connection=how))
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            taken.answer(body=bytes(60_000))
            await settled(it)
            assert connection.transport is not None and connection.transport.get_write_buffer_size()
            assert not connection.has_open_requests and not it.downstream.evict_one()
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert (await client.answer())[::2] == (200, bytes(60_000))
            await until(lambda: not it.downstream.budget.used)
            assert_nothing_left(it)

    run(test())


def test_client_that_reads_nothing_is_evicted_when_memory_is_short() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            taken.answer(body=bytes(60_000))
            await settled(it)
            it.downstream.budget.total = 0
            it.downstream.enforce_limits()
            assert connection in it.downstream.connections
            connection.progress_at -= 2 * eviction.STALLED_S
            it.downstream.enforce_limits()
            assert connection not in it.downstream.connections

    run(test())


@pytest.mark.parametrize("size", [100, 3_000_000])
def test_data_after_the_last_request_does_not_reset_its_response(size: int) -> None:
    """Closing with unread bytes sends a reset, which drops the part of the response still in the kernel."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Connection="close"))
            taken = await it.host.taken.get()
            (connection,) = pause_clients(it)
            client.send(ask())
            await until(lambda: not unread_input.is_quiet(connection.transport))
            taken.answer(body=bytes(size))
            assert (await client.answer())[::2] == (200, bytes(size))
            assert await client.closed()
            await settled(it)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


def test_shutdown_does_not_reset_lingering_connections() -> None:
    """Guards against closing while the last response is in transit and further input is discarded."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask(Connection="close"))
            taken = await it.host.taken.get()
            (connection,) = pause_clients(it)
            transport = connection.transport
            assert transport is not None
            client.send(ask())
            await until(lambda: not unread_input.is_quiet(transport))
            taken.answer()
            await settled(it)
            pause_clients(it)
            client.send(ask())
            await until(lambda: not unread_input.is_quiet(transport))
            ending = asyncio.get_running_loop().create_task(it.downstream.finish_requests())
            await asyncio.sleep(0)
            assert not transport.is_closing()
            transport.resume_reading()
            await ending
            assert (await client.answer())[0] == 200 and await client.closed()
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


def test_no_further_request_for_a_client_that_closes_during_a_response() -> None:
    """The connection stays until the response is sent; pipelined requests were still forwarded by then."""

    async def test() -> None:
        async with gateway(hosts=2, settings=settings(**RETRY_CAPS)) as it:
            client = await it.client()
            client.send(ask())
            first = await it.host.taken.get()
            connection = it.stop_reading(client)
            client.send(ask() + ask())
            first.answer(body=bytes(30_000))
            second = await it.host.taken.get()
            transport = connection.transport
            assert transport is not None and transport.get_write_buffer_size() and not connection.read_paused
            client.writer.write_eof()
            await it.event(ClientDisconnected)
            assert transport.get_write_buffer_size()
            second.answer()
            await settled(it)
            client.writer.transport.abort()
            await until(lambda: not it.downstream.connections)
            assert it.host.taken.empty()
            assert_nothing_left(it)

    run(test())


@pytest.mark.parametrize("says", [b"", b"HTTP/1.1 200 Any\r\n\r\nwhole"])
def test_endpoint_that_closes_before_the_whole_request_ends_the_attempt(says: bytes) -> None:
    """Guards against an attempt that hangs until its timeout, since the rest of its body cannot be sent."""

    async def test() -> None:
        async with gateway(hosts=1) as it:
            reading = asyncio.Event()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                reader._transport.pause_reading()  # type: ignore[attr-defined]
                (upstream,) = it.proxy.upstream.connections
                await until(
                    lambda: upstream.transport is not None and upstream.transport.get_write_buffer_size() > 0
                )
                writer.write(says)
                writer.write_eof()
                reading.set()

            it.host.serve = serve  # type: ignore[method-assign]
            client = await it.client()
            client.send(ask("buy", body=bytes(30_000_000)))
            await reading.wait()
            ended = await it.event(AttemptEnded)
            if says:
                assert ended.outcome is Outcome.SUCCESS
            else:
                assert ended.outcome is Outcome.CONNECT_FAILED and (await client.answer())[0] in (502, 503)

    run(test(), 10.0)


@pytest.mark.parametrize("beyond", [0, 1])
def test_connection_beyond_the_limit_gets_503_despite_unread_input(
    beyond: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing with unread input: the reset could overtake the 503."""
    monkeypatch.setattr(listener.Downstream, "limit", 0)
    monkeypatch.setattr(listener.Downstream, "evict_one", lambda *_, **__: False)

    async def test() -> None:
        async with gateway() as it:
            it.downstream.rejected_capacity = 1
            assert it.downstream.socket is not None
            address = it.downstream.socket.getsockname()
            loop = asyncio.get_running_loop()
            with contextlib.ExitStack() as open_ones:
                many = [open_ones.enter_context(socket.create_connection(address)) for _ in range(1 + beyond)]
                for sock in many:
                    sock.sendall(ask())  # before the event loop accepts it
                    sock.setblocking(False)
                for sock in many:
                    said = b""
                    while data := await loop.sock_recv(sock, 4096):
                        said += data
                    assert said.startswith(b"HTTP/1.1 503 ") and b"retry-after: " in said
            assert it.host.taken.empty() and not it.proxy.accepted_count
            await until(lambda: not it.downstream.connections)

    run(test())
