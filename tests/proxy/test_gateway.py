"""Requests, attempts and invalid input over real sockets: a test for each kind of failure."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from typing import Any

import pytest

from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    Event,
    HealthCheck,
    HealthCheckEnded,
    Outcome,
    Reject,
    RequestArrived,
    Send,
)
from badgergap.proxy import tcp_transport
from badgergap.proxy.body_streams import HOLD
from badgergap.proxy.downstream import client_connection, forwarding, http_connection, request_reader
from badgergap.proxy.downstream.request_validation import BODY_LIMIT, HEAD_LIMIT
from badgergap.proxy.endpoints.sources import endpoint_id_of
from badgergap.proxy.limits import eviction
from badgergap.proxy.upstream import health_check
from tests.sockets import PATIENCE_S, Client, Gateway, ask, chunk, entry, gateway, news, run, settings


def test_request_is_forwarded_and_response_returned_unchanged() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            trace = {"Request_Id": "0123abcd", "Traceparent": "t1", "X_Own": "h", "Accept": "a"}
            client.send(
                ask("pay", body=b"\0\xffcard", **trace).replace(b"\r\n\r\n", b"\r\nAccept: b\r\n\r\n")
            )
            taken = await it.host.taken.get()
            assert taken.first == "POST /pay?user=00ff HTTP/1.1" and taken.body == b"\0\xffcard"
            assert taken.head["request-id"] == "0123abcd" and taken.head["idempotency-key"] == "77"
            assert taken.head["traceparent"] == "t1" and taken.head["accept"] == "a, b"
            assert "x-own" not in taken.head
            assert 0 < int(taken.head["request-timeout-ms"]) <= 30_000
            taken.answer(200, b"\1\xfepaid", Content_Type="application/x-slip")
            status, head, body = await client.answer()
            assert (status, body) == (200, b"\1\xfepaid") and head["content-type"] == "application/x-slip"
            arrived = await it.event(RequestArrived)
            assert (arrived.request_class, arrived.key) == (1, 0xFF)

    run(test())


def test_endpoint_connections_are_kept_alive() -> None:
    """After a message the parser always reports that the connection is not kept alive."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            for _ in range(3):
                await it.served(client)
            assert it.host.connections == 1

    run(test())


# Guards against a stall between the look at the clock and the head: the endpoint was told that 1 ms was left.
def test_a_request_whose_time_ends_as_it_is_written_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = forwarding.EndpointHead.lines

    def stalled_lines(head: forwarding.EndpointHead) -> bytes:
        time.sleep(0.1)
        return lines(head)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            monkeypatch.setattr(forwarding.EndpointHead, "lines", stalled_lines)
            assert (await client.ask(ask(Request_Timeout_Ms="50")))[0] == 503
            await asyncio.sleep(0.05)
            assert it.host.taken.empty()

    run(test())


def test_connection_closed_after_response_is_not_reused() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            for _ in range(2):
                client.send(ask())
                (await it.host.taken.get()).answer(Connection="close")
                assert (await client.answer())[0] == 200
            assert it.host.connections == 2

    run(test())


ANSWERS = [
    (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n", Outcome.REJECTED),
    (b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n", Outcome.REJECTED),
    (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"HTTP/1.1 404 Lost\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", Outcome.SUCCESS),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", Outcome.RESET),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        Outcome.RESET,
    ),
    (b"HTTP/1.1 102 Processing\r\n\r\n" * 9 + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Outcome.RESET),
    (b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (BODY_LIMIT + 1), Outcome.RESET),
    (b"HTTP/1.1 500 Error\r\nContent-Length: 70000\r\n\r\n" + bytes(70_000), Outcome.RESET),
    (
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * HEAD_LIMIT + b"\r\nContent-Length: 0\r\n\r\n",
        Outcome.RESET,
    ),
    (b"no HTTP at all\r\n\r\n", Outcome.RESET),
]


@pytest.mark.parametrize(("answer", "outcome"), ANSWERS)
def test_outcomes(answer: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy"))
            (await it.host.taken.get()).raw(answer, close=True)
            assert (await it.event(AttemptEnded)).outcome is outcome
            # An UNSAFE request gets a 503 only if it certainly was not executed.
            assert (await client.answer())[0] == {Outcome.REJECTED: 503, Outcome.SUCCESS: 200}.get(
                outcome, 502
            )

    run(test())


ENDLESS = [
    b"HTTP/1.1 200 OK\r\nX: ",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
]


@pytest.mark.parametrize("start", ENDLESS)
def test_endless_response_is_aborted(start: bytes) -> None:
    """Guards against counting only complete header fields: an endless one grew inside the parser."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy"))
            (await it.host.taken.get()).raw(start + b"x" * health_check.RAW_LIMIT)
            assert (await it.event(AttemptEnded)).outcome is Outcome.RESET
            assert (await client.answer())[0] == 502

    run(test())


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


@pytest.mark.parametrize("extra", [GOOD.replace(b"good", b"evil"), b"noise\xff\r\n", b"HT", b"\0"])
def test_data_after_valid_response_only_closes_the_connection(extra: bytes) -> None:
    """Guards against the parser's error discarding the valid response and counting against the endpoint."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            for _ in range(2):
                client.send(ask("buy"))
                (await it.host.taken.get()).raw(GOOD + extra)
                assert (await client.answer())[2] == b"good"
                assert (await it.event(AttemptEnded)).outcome is Outcome.SUCCESS
                await it.host.left.get()
            assert it.host.connections == 2

    run(test())


def test_unsolicited_data_is_not_the_response_to_the_next_request() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (connection,) = it.proxy.upstream.connections
            assert connection.transport is not None
            connection.transport.pause_reading()  # as if the data arrived just when the next request is sent
            it.host.writers[0].write(GOOD.replace(b"good", b"evil"))
            await it.host.writers[0].drain()
            while connection.is_quiet():
                await asyncio.sleep(0.001)
            client.send(ask())
            (await it.host.taken.get()).answer(body=b"mine")
            assert (await client.answer())[2] == b"mine" and it.host.connections == 2

    run(test())


def test_interim_response_is_not_the_final_one() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            taken.raw(b"HTTP/1.1 102 Processing\r\n\r\n")
            taken.answer()
            assert (await client.answer())[0] == 200

    run(test())


def test_refused_connection_means_request_was_not_executed() -> None:
    async def test() -> None:
        async with gateway() as it:
            it.host.stop()
            assert (await (await it.client()).ask(ask("buy")))[0] == 503
            assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED

    run(test())


def test_invalid_endpoint_address_fails_the_attempt() -> None:
    """Guards against errors other than OSError: the attempt hung until its timeout, the connection leaked."""

    async def test() -> None:
        async with gateway() as it:
            it.proxy.upstream.endpoints[endpoint_id_of("h0")].address = ("a..b", 80)
            assert (await (await it.client()).ask(ask("buy")))[0] == 503
            assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
            assert not it.proxy.upstream.connections

    run(test())


def test_connect_timeout_means_request_was_not_executed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway(settings=settings(connectTimeoutUs=1_000)) as it:
            block_connects(it, monkeypatch)
            assert (await (await it.client()).ask(ask("buy")))[0] == 503
            assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED

    run(test())


def test_request_still_in_the_write_buffer_was_not_executed() -> None:
    """Guards against counting data as sent that only reached the transport's write buffer."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (connection,) = it.proxy.upstream.connections
            assert connection.transport is not None
            # Small buffers on both sides, so that most of a large body stays in the transport.
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            (writer,) = it.host.writers
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(ask("buy", body=bytes(HOLD)))
            await it.event(RequestArrived, lambda e: e.request_class == 2)
            assert connection.transport.get_write_buffer_size() > 0
            writer.transport.abort()
            assert (
                await it.event(AttemptEnded, lambda e: e.request_id == "2")
            ).outcome is Outcome.CONNECT_FAILED
            assert (await client.answer())[0] == 503

    run(test())


def test_attempt_timeout_closes_its_connection() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Request_Timeout_Ms="200"))
            await it.host.taken.get()
            assert (await client.answer())[0] == 502
            assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT
            await it.host.left.get()

    run(test())


def test_client_disconnect_cancels_its_attempt() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            await it.host.taken.get()
            client.writer.close()
            await it.event(ClientDisconnected)
            assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
            await it.host.left.get()
            assert not it.proxy.requests and it.proxy.open_requests == 0

    run(test())


def test_unanswered_request_gets_504_at_its_deadline(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            it.proxy.balancer.handle = lambda now_us, event: []  # type: ignore[method-assign]
            assert (await (await it.client()).ask(ask(Request_Timeout_Ms="50")))[0] == 504
            assert "no answer at its deadline" in caplog.text and not it.proxy.requests

    run(test())


@pytest.mark.parametrize(("retry_after_us", "retry_after_s"), [(1_250_000, 1.25), (0, 1.0)])
def test_rejection_is_immediate_and_has_retry_after(retry_after_us: int, retry_after_s: float) -> None:
    async def test() -> None:
        async with gateway() as it:

            def refuse(now_us: int, event: Event) -> list[Action]:
                return [Reject(event.request_id, retry_after_us)] if isinstance(event, RequestArrived) else []

            it.proxy.balancer.handle = refuse  # type: ignore[method-assign]
            status, head, _ = await (await it.client()).ask(ask())
            assert status == 503 and float(head["retry-after"]) == retry_after_s

    run(test())


def test_exception_in_the_balancer_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            handle = it.proxy.balancer.handle

            def broken(now_us: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived):
                    raise RuntimeError("a fault")
                return handle(now_us, event)

            client = await it.client()
            it.proxy.balancer.handle = broken  # type: ignore[method-assign]
            assert (await client.ask(ask()))[0] == 500
            assert "a fault" in caplog.text and not it.proxy.requests
            it.proxy.balancer.handle = handle  # type: ignore[method-assign]
            await it.served(client)

    run(test())


@pytest.mark.parametrize("attempts", [2, 1])
def test_attempt_beyond_the_limit_is_never_sent(attempts: int) -> None:
    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=attempts)) as it:

            def twice(now_us: int, event: Event) -> list[Action]:
                it.events.append(event)
                it.changed.set()
                send = Send(getattr(event, "request_id", ""), endpoint_id_of("h0"), 20_000_000)
                return [send, send] if isinstance(event, RequestArrived) else []

            it.proxy.balancer.handle = twice  # type: ignore[method-assign]
            client = await it.client()
            client.send(ask())
            for _ in range(attempts):
                taken = await it.host.taken.get()
            if attempts == 1:
                assert (await it.event(AttemptEnded)).outcome is Outcome.NEVER_SENT
            taken.answer()
            assert (await client.answer())[0] == 200
            assert it.host.taken.empty()

    run(test())


def block_connects(it: Gateway, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Block connections to the endpoint until the returned event is set."""
    free = asyncio.Event()
    connect = tcp_transport.connect_socket

    async def held(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int]) -> None:
        if f"{address[0]}:{address[1]}" == it.host.address:
            await free.wait()
        await connect(loop, sock, address)

    monkeypatch.setattr(tcp_transport, "connect_socket", held)
    return free


def test_request_waiting_for_a_connection_is_not_sent_after_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with gateway() as it:
            _, watch = await it.registry.watches.get()
            free = block_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask("buy"))
            await it.event(RequestArrived)
            watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
            await it.event(EndpointList, lambda e: e.kind is EndpointListKind.DELTA)
            free.set()
            assert (await it.event(AttemptEnded)).outcome is Outcome.NEVER_SENT
            assert (await client.answer())[0] == 503
            assert it.host.taken.empty()

    run(test())


BAD = [
    (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    (b"\0\0\0\0\r\n\r\n", 400),
    (ask(Request_Id=None), 400),
    (ask(Request_Id="two words"), 400),
    (ask(Request_Timeout_Ms=None), 400),
    (ask(Request_Timeout_Ms="0"), 400),
    (ask(Request_Timeout_Ms="-5"), 400),
    (ask(Request_Timeout_Ms="soon"), 400),
    (ask("pay", Idempotency_Key=None), 400),
    (ask("look").replace(b"/look", b"/pay"), 400),
    (ask("nothing"), 404),
    (ask("look").replace(b"/look", b"/lost"), 404),
    (ask("look", method="POST"), 405),
    (ask(Request_Id="a" * 129), 400),
    (ask().replace(b"Request-Id", b"Request-Id: 7\r\nRequest-Id"), 400),
    (ask().replace(b"Request-Class", b"Request-Class: look\r\nRequest-Class"), 400),
    (ask().replace(b"Request-Timeout-Ms", b"Request-Timeout-Ms: 9\r\nRequest-Timeout-Ms"), 400),
    (ask(User_Agent="caf\u00e9"), 400),
    (ask().replace(b"user=", b"user=\xe9"), 400),
    (ask().replace(b"user=00ff", b"x=" + b"x" * 5_000), 414),
    (ask().replace(b"/look", b"http://other/look"), 400),
    (ask().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
    (ask().replace(b" HTTP/1.1", b""), 505),
    (ask(Content_Length="3") + b"abc", 400),
    (ask(Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
    (ask("buy", Content_Length="3", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
    (ask("buy", Transfer_Encoding="chunked", Content_Length="3") + b"0\r\n\r\n", 400),
    (ask("buy", Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n", 400),
    (ask("buy", Content_Length="-1"), 400),
    (ask("buy", Content_Length="9" * 30), 400),
    (ask("buy", Content_Length="3").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n") + b"abc", 400),
    (ask("buy", Content_Length="60000000"), 413),
    (ask("buy", Transfer_Encoding="chunked") + b"1;" + b"x" * request_reader.RAW_LIMIT, 413),
    (ask("buy", Content_Length=str(BODY_LIMIT + 1)) + bytes(70_000), 413),
    (ask(X="x" * HEAD_LIMIT), 431),
    (b"GET /look HTTP/1.1\r\nX: " + b"x" * (HEAD_LIMIT + 1), 431),
]


@pytest.mark.parametrize(("data", "status"), BAD)
def test_invalid_input_is_rejected_and_not_forwarded(data: bytes, status: int) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(data)
            assert (await client.answer())[0] == status
            assert await client.closed()
            good = await it.client()
            good.send(ask(Request_Id="ffff"))
            taken = await it.host.taken.get()
            assert taken.head["request-id"] == "ffff"
            taken.answer()
            assert (await good.answer())[0] == 200

    run(test())


def test_data_sent_after_a_rejection_does_not_reset_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against closing at once: the rest of the body then causes a reset that can overtake the 413."""
    monkeypatch.setattr(http_connection, "LINGER_S", 2 * PATIENCE_S)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", body=bytes(HOLD), Content_Length=str(2 * BODY_LIMIT)))
            assert (await client.answer())[0] == 413
            assert await client.closed()
            for _ in range(2):  # the first would trigger the reset, the second would receive it
                client.send(b"the rest")
            assert not client.writer.transport.is_closing()
            client.writer.transport.abort()

    run(test())


def test_client_that_reads_no_responses_is_not_read() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            assert connection.transport is not None
            connection.transport.set_write_buffer_limits(high=0)
            taken.answer(body=bytes(HOLD))
            assert (await it.event(AttemptEnded)).outcome is Outcome.SUCCESS
            assert connection.transport.get_write_buffer_size() > 0
            assert not connection.transport.is_reading()
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert len((await client.answer())[2]) == HOLD
            await it.served(client)

    run(test())


def test_tenants_are_numbered_by_position() -> None:
    async def test() -> None:
        tenants = [{"name": "acme"}, {"name": "zeta"}]
        async with gateway(settings={**settings(), "tenants": tenants}) as it:
            assert (await (await it.client()).ask(ask(Tenant="nobody")))[0] == 400
            client = await it.client()
            await it.served(client, ask(Tenant="zeta", Work_Hint="1200", Client_Retry="1"))
            arrived = await it.event(RequestArrived)
            assert (arrived.tenant, arrived.expected_work_us, arrived.is_retry) == (1, 1200, True)

    run(test())


def test_client_supplied_values_are_bounded_by_the_class() -> None:
    """Guards against excessive timeouts and work hints skewing the balancer's averages and its timers."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client, ask(Work_Hint="9" * 17, Request_Timeout_Ms="9" * 17))
            arrived = await it.event(RequestArrived)
            assert arrived.expected_work_us == 60_000_000 and arrived.client_timeout_us <= 60_000_000

    run(test())


def test_id_of_an_open_request_is_rejected_for_another_client() -> None:
    async def test() -> None:
        async with gateway() as it:
            first, second = await it.client(), await it.client()
            first.send(ask(Request_Id="77"))
            taken = await it.host.taken.get()
            assert (await second.ask(ask(Request_Id="77")))[0] == 409
            assert it.host.taken.empty()
            taken.answer()
            assert (await first.answer())[0] == 200
            await it.served(first, ask(Request_Id="77"))  # free again, since the request has ended
            first.send(ask(Request_Id="77"))
            await it.host.taken.get()
            first.writer.close()
            await it.event(ClientDisconnected)
            assert not it.downstream.validator.ids.open

    run(test())


@pytest.mark.parametrize("start", [b"", b"GET /lo", ask("buy", Content_Length="9") + b"abc"])
def test_client_without_progress_is_closed_soon(start: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against silent clients staying for 75 s, and clients that send single bytes staying forever."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(start)
            (connection,) = [await connected(it)]
            while start and not connection.is_receiving:
                await asyncio.sleep(0.001)
            connection.check_time(connection.phase_began_at + 0.9 * request_reader.REQUEST_S)
            assert not connection.is_closing
            at = connection.phase_began_at
            if start:
                client.send(start[-1:])
                await asyncio.sleep(0.01)
            connection.check_time(
                at + request_reader.REQUEST_S + 0.01
            )  # counted from the accept, not from the last byte
            if start:
                assert (await client.answer())[0] == 408
            assert await client.closed()

    run(test())


async def connected(it: Gateway) -> client_connection.ClientConnection:
    while not it.downstream.connections:
        await asyncio.sleep(0.001)
    return next(iter(it.downstream.connections))


def test_too_many_pipelined_requests_are_rejected_at_once() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(b"".join(ask() for _ in range(100)))
            assert (await client.answer())[0] == 400
            assert await client.closed()
            assert not it.downstream.validator.ids.open and it.proxy.open_requests == 0

    run(test())


def test_flood_of_silent_connections_does_not_evict_active_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evicting the longest idle connection, which belonged to an active client."""
    monkeypatch.setattr(eviction, "SILENT_S", -1.0)
    monkeypatch.setattr(eviction, "STALLED_S", -1.0)

    async def test() -> None:
        async with gateway(limits={"sockets": 128}) as it:
            usual = await it.client()
            await it.served(usual)
            await it.served(usual)
            (ours,) = it.downstream.connections
            flood = []
            for number in range(2 * it.downstream.limit):
                flood.append(await it.client())
                if number % 2:
                    flood[-1].send(b"GET /lo")
            assert await flood[0].closed()
            assert ours in it.downstream.connections and len(it.downstream.connections) == it.downstream.limit
            await it.served(usual)

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask(Request_Id="first") + ask(Request_Id="second"))
            for name in ("first", "second"):
                taken = await it.host.taken.get()
                assert taken.head["request-id"] == name
                taken.answer(body=name.encode())
                assert (await client.answer())[2] == name.encode()

    run(test())


def test_open_requests_beyond_the_limit_are_rejected() -> None:
    async def test() -> None:
        async with gateway(settings=settings(mostHeld=1)) as it:
            first = await it.client()
            first.send(ask())
            taken = await it.host.taken.get()
            assert (await (await it.client()).ask(ask()))[0] == 503
            taken.answer()
            assert (await first.answer())[0] == 200
            await it.served(first)

    run(test())


def test_connections_are_bounded_and_idle_ones_evicted() -> None:
    async def test() -> None:
        async with gateway(limits={"sockets": 128}) as it:
            limit = it.downstream.limit
            it.proxy.balancer.admission.burst_shed_fraction = lambda: 0.0  # type: ignore[method-assign]
            idle = [await it.client() for _ in range(limit)]
            busy = await it.client()
            await it.served(busy)
            await it.event(RequestArrived)  # consumed, because each request is awaited below
            ends = [asyncio.create_task(client.closed()) for client in idle]
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            assert any(end.done() and end.result() for end in ends)
            held: list[Client] = []
            while len(held) < it.downstream.limit:  # it shrinks as endpoint connections are opened
                held.append(await it.client())
                held[-1].send(ask())
                await it.event(RequestArrived)
            while it.downstream.evict_one():
                """All remaining connections have an open request."""
            rejected = await it.client()
            status, head, _ = await rejected.ask(ask())
            assert status == 503 and head["connection"] == "close"

    run(test())


def test_idle_clients_do_not_use_up_the_connections() -> None:
    """Guards against keeping idle connections for 5 s below the limit: new clients then found none free."""

    async def test() -> None:
        async with gateway(limits={"sockets": 256}) as it:
            most = it.downstream.idle_capacity
            clients = [await it.client() for _ in range(most + 1)]
            for client in clients:
                await it.served(client)
            assert await clients[0].closed()
            assert len(it.downstream.connections) <= most < it.downstream.limit / 2
            await it.served(clients[1])
            assert not it.downstream.validator.ids.open

    run(test())


def test_endpoint_connections_are_bounded() -> None:
    """Guards against a lack of connections counting as endpoint failures, which could open every breaker."""

    async def test() -> None:
        async with gateway() as it:
            it.proxy.upstream.limit = 3
            clients = [await it.client() for _ in range(3)]
            for client in clients:
                client.send(ask())
                await it.host.taken.get()
            assert (await (await it.client()).ask(ask("buy")))[0] == 503
            assert (await it.event(AttemptEnded)).outcome is Outcome.NEVER_SENT
            assert it.host.connections == 3

    run(test())


def test_descriptor_shortage_is_no_endpoint_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    async def none_left(*_: Any, **__: Any) -> Any:
        raise OSError(errno.EMFILE, "too many open files")

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            monkeypatch.setattr(tcp_transport, "connect_socket", none_left)
            assert (await client.ask(ask("buy")))[0] == 503
            assert (await it.event(AttemptEnded)).outcome is Outcome.NEVER_SENT

    run(test())


def test_connection_to_an_old_address_is_not_reused_for_the_new_one() -> None:
    """Guards against a connection, busy during an address change, that was pooled for the new address."""

    async def test() -> None:
        async with gateway() as it:
            _, watch = await it.registry.watches.get()
            client = await it.client()
            client.send(ask())
            taken = await it.host.taken.get()
            watch.write(chunk(news(entry("h0", "127.0.0.1:9"))))
            await it.event(EndpointList, lambda e: e.kind is EndpointListKind.DELTA)
            taken.answer()
            assert (await client.answer())[0] == 200
            assert not it.proxy.upstream.connections

    run(test())


def test_idle_endpoint_connections_are_closed_early(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            it.proxy.upstream.clean_up()
            assert len(it.proxy.upstream.connections) == 1
            assert it.proxy.upstream.idle_s < 60  # what the settings say
            monkeypatch.setattr(it.proxy.upstream, "idle_s", 0.0)
            it.proxy.upstream.clean_up()
            await it.host.left.get()
            assert not it.proxy.upstream.connections

    run(test())


def test_ready_once_endpoints_are_known() -> None:
    async def test() -> None:
        for hosts, status in ((1, 200), (0, 503)):
            async with gateway(hosts=hosts) as it:
                client = await it.client()
                assert (await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == status

    run(test())


def test_load_reports_in_responses() -> None:
    async def test() -> None:
        reports = {**settings(), "report": {"how": "piggyback", "fields": ["inflight", "util"]}}
        async with gateway(settings=reports) as it:
            client = await it.client()
            client.send(ask())
            (await it.host.taken.get()).answer(Server_Load="inflight=7,util=0.61")
            assert "server-load" not in (await client.answer())[1]
            assert (await it.event(AttemptEnded)).load_report == (("inflight", 7.0), ("util", 0.61))

    run(test())


@pytest.mark.parametrize(("how", "path"), [("silent", "/health/live"), ("pull", "/stats")])
def test_health_checks(how: str, path: str) -> None:
    async def test() -> None:
        probing = {**settings(probes=True), "report": {"how": how, "fields": ["queue"]}}
        async with gateway(settings=probing) as it:
            it.proxy.carry_out(HealthCheck(endpoint_id_of("h0")))
            taken = await it.host.taken.get()
            assert taken.first == f"GET {path} HTTP/1.1" and "request-id" not in taken.head
            taken.answer(body=b"queue=3")
            ended = await it.event(HealthCheckEnded)
            assert ended.outcome is Outcome.SUCCESS
            assert ended.load_report == ((("queue", 3.0),) if how == "pull" else ())

    run(test())


def test_endpoint_ids_are_the_same_on_all_gateways() -> None:
    assert endpoint_id_of("s-5be2a07c") == 0x850D21AD14919D0C
