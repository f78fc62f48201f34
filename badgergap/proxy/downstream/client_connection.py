"""A connection from a client: dispatches its requests in order, responds to each, and serves /health/ready.

`http_connection.py` holds the state and flow control, `request_reader.py` reads the requests.

How a request ends, and what sends the response:

| cause | response | the connection |
| --- | --- | --- |
| the endpoint's response | `FinalResponseWriter` or `send_response` | stays open, unless it was the last |
| the endpoint's response breaks off after it has begun | none: `abort_response` | reset |
| the balancer rejects it, or its deadline passes | the proxy, by `send_response` | stays open |
| it is malformed, or too long | `reject_and_close`, in order | closed after the response |
| its body is invalid, and its response has begun | none: `reject_and_close` | reset |
| too many requests are pipelined | `reject_pipeline`: one response to all | closed after the response |
| the client stops sending it | `check_time`, by `reject_and_close` (408) | closed after the response |
| the client does not read its response | none: `check_time` | reset |
| the client has disconnected | none: `abandon_all` | closed |
| the gateway is a lame duck | `check_lame_duck`, or `dispatch` | closed after the response |
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import Protocol, cast

from badgergap.proxy import unread_input
from badgergap.proxy.body_streams import AnswerHead
from badgergap.proxy.diagnostics import EventKind
from badgergap.proxy.diagnostics.close_reason import CloseReason
from badgergap.proxy.downstream import request_reader
from badgergap.proxy.downstream.forwarding import exchange_spec
from badgergap.proxy.downstream.http_connection import AFTER_FRAMING_LOST
from badgergap.proxy.downstream.incoming_request import IncomingRequest
from badgergap.proxy.downstream.request_reader import ReaderContext, RequestReader
from badgergap.proxy.downstream.request_validation import BadRequestError, RequestValidator
from badgergap.proxy.downstream.response import complete_response, response_head
from badgergap.proxy.downstream.response_writer import RespondedRequest
from badgergap.proxy.gateway_responses import RETRY_AFTER, plain_text, service_unavailable
from badgergap.proxy.lifecycle.lame_duck import ConnectionAction, LameDuck
from badgergap.proxy.limits import eviction
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import AttemptListener, Request
from badgergap.proxy.upstream.connection_pool import Upstream
from badgergap.proxy.upstream.exchange import Answer, Exchange
from badgergap.proxy.upstream.stream_attempt import is_upload_in_use
from badgergap.proxy.upstream.stream_exchange import carry

log = logging.getLogger(__name__)

IDLE_S = 5.0  # a connection that is idle for longer is closed
UNREAD_S = 10.0  # the connection is reset if the client reads nothing of its response for so long
LAME_DUCK_LINGER_S = 0.3
READ_LATE_S = 0.02  # a request that stayed unread for longer: its client may have disconnected meanwhile


class ListenerContext(ReaderContext, Protocol):
    """The interface of the listener that accepted a connection, as the connection uses it."""

    proxy: Proxy
    validator: RequestValidator
    lame_duck: LameDuck
    unsent_limit: int  # bytes buffered for a client, beyond which its endpoint is not read

    @property
    def ends_connections(self) -> bool:
        """Whether each connection is closed after its next response."""

    def add(self, connection: ClientConnection) -> None:
        """Register a connection that a client has opened."""

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle a connection that has become idle."""


class ClientConnection(RequestReader):
    """One connection from a client of the platform; requests get their responses in order."""

    server: ListenerContext

    def __init__(self, server: ListenerContext, adopted: bool = False) -> None:
        """`adopted`: another process of this gateway has handed the connection over."""
        super().__init__(server, requests_read=2 * adopted)
        self.request: Request | None = None  # the current one, once the proxy has admitted it

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection and bound its write buffer."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.transport.set_write_buffer_limits(high=self.server.unsent_limit)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the requests of the lost connection and release their memory."""
        self.server.discard(self)
        self.write_paused = False
        self.count_close()
        self.abandon_all()
        self.incoming = IncomingRequest()
        self.account_memory()

    def count_close(self) -> None:
        """Count why the connection ended; warn if the gateway closed it with a request unanswered."""
        events = self.server.proxy.diagnostics.events
        events.count(EventKind.CONNECTION_CLOSED, self.close_reason)
        if self.has_open_requests and self.close_reason is not CloseReason.CLIENT:
            request_id = self.current.request_id.decode("latin-1") if self.current is not None else ""
            events.warn(
                EventKind.UNANSWERED_CLOSE,
                self.close_reason,
                "request %s was not answered: its connection was closed (%s)",
                request_id,
                self.close_reason,
            )

    def abandon_current(self) -> None:
        """Cancel the attempts of the current request, which gets no response."""
        current, request = self.current, self.request
        self.current = self.request = None
        if current is None:
            return
        self.release(current)
        if current.source is not None:
            source, current.source = current.source, None
            source.client_left()
        elif request is not None:
            self.server.proxy.client_left(request)

    def reject_and_close(self, error: BadRequestError) -> None:
        """Respond to the newest request with `error`, in order, then close the connection.

        Used for errors after which the start of the next request is unknown.
        """
        if self.is_closing:
            return
        self.state = AFTER_FRAMING_LOST[self.state]
        incoming = self.incoming
        if incoming is self.current and not incoming.upload.complete:
            # Its head was valid but its body is not: the attempts that have begun are cancelled.
            if incoming.source is not None:
                self.note_close(CloseReason.INVALID_REQUEST)
                self.reset()
                return
            self.abandon_current()
            self.current = incoming
            incoming.keep_alive, incoming.rejection = False, error
            self.send_response(incoming, error.answer)
        elif incoming.is_queued and not incoming.upload.complete:
            incoming.keep_alive, incoming.rejection = False, error  # sent once it is the current request
        else:
            self.pipeline.append(IncomingRequest(keep_alive=False, rejection=error))

    # Requests, processed one at a time

    def on_body_complete(self, incoming: IncomingRequest) -> None:
        """Notify the proxy that the body of the current request is complete."""
        if incoming is self.current and self.request is not None:
            self.server.proxy.start_client_timeout(self.request, int(incoming.waited_s() * 1e6))

    def on_body_waits(self, incoming: IncomingRequest) -> None:
        """Answer in time a client that may wait since a pause, if its request cannot be retried any more."""
        since, exchange = self.upload_wait.since, incoming.exchange
        if since is None or exchange is None or not exchange.is_committed:
            return  # until then the timeout that began with the request applies
        if incoming is self.current and self.request is not None:
            self.server.proxy.start_client_timeout(self.request, int((self.loop.time() - since) * 1e6))

    def on_body_continues(self, incoming: IncomingRequest) -> None:
        """Wait for the rest of the body of a client that is still sending it."""
        exchange, request = incoming.exchange, self.request
        if incoming is not self.current or request is None or exchange is None:
            return
        if exchange.is_committed and request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def send_continue(self) -> None:
        """Send 100 Continue if the newest request expects it and no earlier request awaits its response.

        Sent earlier, it would precede the response to another request.
        """
        incoming = self.incoming
        if incoming.expects_continue and self.is_receiving and self.current is None and not self.pipeline:
            incoming.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def reject_pipeline(self) -> None:
        """Reject all pipelined requests with a single response, and execute none of them.

        Processed one after another, the requests of a single connection could take many seconds.
        """
        self.pipeline.clear()
        if self.current is not None and self.current.source is not None:
            self.stop_reading()
            self.note_close(CloseReason.INVALID_REQUEST)
            self.reset()  # another response cannot be sent within the one that has begun
            return
        self.abandon_current()
        self.reject_and_close(BadRequestError(400, "too many requests ahead of their turn"))

    def start_next(self) -> None:
        """Start the next request unless one is in progress."""
        while self.current is None and self.pipeline:
            incoming = self.current = self.pipeline.popleft()
            try:
                self.dispatch(incoming)
            except BadRequestError as error:
                # After an invalid request, the bytes that follow may not be meant as a request.
                incoming.rejection = error
                incoming.keep_alive = False
                self.pipeline.clear()
                self.send_response(incoming, error.answer)
            except Exception:
                log.exception("unhandled error while processing a request")
                self.send_response(incoming, plain_text(500, "internal error"))
        if self.read_paused:
            self.check_flow()

    def dispatch(self, incoming: IncomingRequest) -> None:
        """Respond to a request here, or pass it to the proxy. Raises BadRequestError."""
        if incoming.rejection is not None:
            raise incoming.rejection
        server, now = self.server, self.loop.time()
        path = incoming.target.partition(b"?")[0]
        if path == b"/health/ready":
            ready = server.proxy.ready and not server.ends_connections
            self.requests_read += 1
            self.send_response(incoming, plain_text(200, "ready") if ready else plain_text(503, "not ready"))
            return
        if self.over_limit:
            raise BadRequestError(503, "too many connections", (b"retry-after", RETRY_AFTER))
        waited_s = incoming.waited_s()
        if waited_s > READ_LATE_S and self.client_has_left():
            return  # after a stall, such requests would delay those whose clients still wait
        if not server.lame_duck.accepts_requests(now):
            self.send_response(incoming, service_unavailable("this gateway sends its clients away"))
            return
        launch = partial(self.start_attempt, incoming)
        spec = server.validator.validate(incoming, launch, waited_s)
        incoming.forwarded_head = b"%b %b HTTP/1.1\r\n%b" % (spec.method, spec.target, spec.headers)
        self.requests_read += 1
        incoming.request_id = server.validator.reserve_id(incoming, spec.request_class)
        incoming.is_repeatable = server.validator.is_repeatable(spec.request_class)
        request = server.proxy.arrive(spec, partial(self.send_response, incoming))
        if request is None:
            server.validator.ids.release(incoming.request_id)
        if request is not None and request.reply is not None:
            self.request = request

    def start_attempt(
        self,
        incoming: IncomingRequest,
        upstream: Upstream,
        endpoint_id: int,
        timeout_s: float,
        listener: AttemptListener,
    ) -> Exchange:
        """Start one attempt at an endpoint, or return one that is never sent.

        `timeout_s` is the timeout that the request states to the endpoint. `listener` is notified of the
        outcome.
        """
        upload = incoming.upload
        if is_upload_in_use(incoming.exchange, upload):
            unsent = Exchange(b"", listener.on_ended)
            self.loop.call_soon(unsent.never_sent)
            return unsent
        spec = exchange_spec(self, incoming, timeout_s)
        incoming.exchange = carry(upstream, endpoint_id, timeout_s, spec, listener)
        return incoming.exchange

    # Responses

    def send_response(self, incoming: RespondedRequest, answer: Answer) -> None:
        """Write a complete response to the current request."""
        if incoming is not self.current or not isinstance(incoming, IncomingRequest):
            return  # its client has disconnected, or the response was sent already
        incoming.is_last = self.is_last(incoming)
        self.write(complete_response(answer, incoming.is_last, incoming.method == b"HEAD", incoming.version))
        self.response_finished(incoming)

    def is_last(self, incoming: IncomingRequest) -> bool:
        """Return whether the connection ends with this response.

        An overload or a drain of the gateway does not end it while pipelined requests await a response.
        """
        if not incoming.keep_alive or not incoming.upload.complete:
            return True
        return (self.over_limit or self.server.ends_connections) and not self.pipeline

    def head_lines(self, incoming: RespondedRequest, head: AnswerHead) -> bytes:
        """Return the bytes of the head of a streamed response."""
        assert isinstance(incoming, IncomingRequest)
        incoming.is_last = self.is_last(incoming)
        lines = response_head(head.status, head.headers, incoming.is_last, incoming.version)
        if incoming.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif head.length is not None:
            lines.append(b"content-length: %d" % head.length)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def response_finished(self, incoming: RespondedRequest) -> None:
        """Continue after a response: close the connection, start the next request, or become idle."""
        assert isinstance(incoming, IncomingRequest)
        self.release(incoming)
        self.current = self.request = incoming.source = None
        self.phase_began_at = self.progress_at = self.loop.time()
        if incoming.is_last:
            self.stop_reading()
            self.pipeline.clear()
            self.note_close(CloseReason.LAST_RESPONSE)
            if incoming.rejection is None and incoming.upload.complete and self.closes_cleanly:
                self.close()
            else:
                self.linger()
        elif self.pipeline:
            self.loop.call_soon(self.start_next)
        elif not self.is_receiving:
            self.server.on_idle(self)
        else:
            self.send_continue()
        if self.read_paused:
            self.check_flow()

    def abort_response(self, incoming: RespondedRequest) -> None:
        """Reset the connection under a response that broke off, so that it does not look complete."""
        assert isinstance(incoming, IncomingRequest)
        self.release(incoming)
        self.current = self.request = None
        self.note_close(CloseReason.RESPONSE_BROKEN)
        self.reset()

    def release(self, incoming: IncomingRequest) -> None:
        """Release the memory of a request that has ended, and its id if it may be repeated."""
        if incoming.is_repeatable:
            self.server.validator.ids.release(incoming.request_id)
        if incoming.upload.size:
            incoming.upload.discard()
        if self.accounted_bytes:
            self.account_memory()

    def on_client_left(self) -> None:
        """Handle the client's close, which was found in its socket before it was read."""
        if self.has_open_requests:
            self.server.proxy.diagnostics.events.count(EventKind.CLIENT_LEFT, "found_unread")
        super().on_client_left()

    def may_migrate(self) -> bool:
        """Return whether another process can take the connection over.

        It can if no part of a request and no unsent part of a response is held here.
        """
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or not self.is_idle
            or self.is_closing
            or self.over_limit
        ):
            return False
        return not transport.get_write_buffer_size()

    def on_migrated(self) -> None:
        """Close this process's descriptor; the connection stays open through that of the other process."""
        self.note_close(CloseReason.MIGRATED)
        self.evict()

    def evict(self) -> None:
        """Close at once, to free the descriptor or memory for another connection."""
        self.note_close(CloseReason.EVICTED)
        self.abort()

    def eviction_priority(self, now: float, for_memory: bool = False) -> eviction.EvictionPriority:
        """Return how soon the connection is evicted.

        Under a flood of connections, those of clients that have sent least are evicted first.
        """
        return eviction.eviction_priority(
            now,
            closing=self.is_closing,
            awaits_response=self.has_open_requests,
            requests_read=self.requests_read,
            receiving=self.is_receiving,
            phase_began_at=self.phase_began_at,
            progress_at=self.progress_at,
            has_unsent=self.transport is not None and self.transport.get_write_buffer_size() > 0,
            for_memory=for_memory,
        )

    def check_lame_duck(self, now: float) -> None:
        """Apply the rules of a lame duck: close the connection, or reject an incomplete request."""
        if self.is_closing:
            return
        match self.server.lame_duck.action(
            now, self.has_open_requests, self.is_receiving, self.phase_began_at
        ):
            case ConnectionAction.CLOSE if self.may_close:
                self.note_close(CloseReason.LAME_DUCK)
                self.close()
            case ConnectionAction.REJECT:
                self.note_close(CloseReason.LAME_DUCK)
                self.stop_reading()
                self.write(
                    complete_response(service_unavailable("this gateway sends its clients away"), True, False)
                )
                self.linger(LAME_DUCK_LINGER_S)

    def check_time(self, now: float) -> None:
        """Enforce the timeouts of the connection at `now` (loop time, seconds)."""
        if self.read_paused and self.client_has_left():
            return
        self.update_write_progress(now)
        if self.unsent_bytes and now - self.progress_at > UNREAD_S:
            self.note_close(CloseReason.RESPONSE_UNREAD)
            self.reset()  # an unread response must not occupy memory without limit
        elif self.is_closing:
            return
        elif self.is_receiving and not self.incoming.head_complete:
            is_late = now - self.phase_began_at > request_reader.REQUEST_S
            if is_late and not self.has_open_requests and unread_input.is_quiet(self.transport):
                self.reject_and_close(BadRequestError(408, "the rest of the request has not come"))
                self.start_next()
        elif self.is_receiving:
            if not self.read_paused and now > self.due_at and unread_input.is_quiet(self.transport):
                self.reject_and_close(BadRequestError(408, "the rest of the request has not come"))
                self.start_next()
        elif (
            not self.has_open_requests
            and now - self.phase_began_at > (IDLE_S if self.requests_read else request_reader.REQUEST_S)
            and self.may_close
        ):
            self.note_close(CloseReason.IDLE)
            self.close()
