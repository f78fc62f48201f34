"""The caller's side of the admin socket: one call and done, or a connection that stays."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from badgergap.admin import protocol
from badgergap.admin.protocol import Failure, Reply, Request, Snapshot

# A snapshot of a thousand boxes is about 400 KB.
REPLY_LIMIT = 16 * 1024 * 1024
CONNECT_S = 2.0

T = TypeVar("T")


class NoGateway(Exception):
    """Nothing answers at the socket."""


class NoAnswer(Exception):
    """The connection ended, or time ran out, before the reply: what was asked may have happened or not."""


class AdminError(Exception):
    """The gateway refused."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.text)
        self.failure = failure


def result_of(reply: Reply, kind: type[T]) -> T:
    """Raises AdminError for a refusal, ProtocolError for a result of another shape."""
    if reply.error is not None:
        raise AdminError(reply.error)
    try:
        return msgspec.json.decode(reply.result or b"null", type=kind)
    except msgspec.MsgspecError as error:
        raise protocol.ProtocolError("malformed", str(error)) from None


def call(path: Path, request: Request, kind: type[T], timeout_s: float = 5.0) -> T:
    """One request on a connection of its own. Raises NoGateway, NoAnswer, AdminError or ProtocolError."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(CONNECT_S)
        try:
            sock.connect(str(path))
        except OSError as error:
            raise NoGateway(f"no gateway answers at {path} ({error.strerror or error})") from None
        deadline = time.monotonic() + timeout_s
        data = bytearray()
        try:
            sock.sendall(protocol.encode(request))
            while not data.endswith(b"\n"):
                sock.settimeout(max(0.001, deadline - time.monotonic()))
                part = sock.recv(1 << 16)
                if not part or len(data) > REPLY_LIMIT:
                    raise NoAnswer("the gateway ended the connection before its answer")
                data += part
        except OSError as error:
            raise NoAnswer(f"no answer from the gateway ({error.strerror or 'out of time'})") from None
    return result_of(protocol.decode_reply(bytes(data)), kind)


class AdminClient:
    """A connection that stays: snapshots as they come, and calls beside them."""

    def __init__(self, path: Path, on_snapshot: Callable[[Snapshot], None]) -> None:
        self.path = path
        self.on_snapshot = on_snapshot
        self.ids = itertools.count(1)
        self.waiting: dict[str, asyncio.Future[Reply]] = {}
        self.writer: asyncio.StreamWriter | None = None

    async def run(self, connected: Callable[[], None]) -> None:
        """Connect, subscribe and read until the connection ends. Raises NoGateway if there is none."""
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_unix_connection(str(self.path), limit=REPLY_LIMIT)
        except (OSError, TimeoutError) as error:
            raise NoGateway(f"no gateway answers at {self.path}") from error
        self.writer = writer
        try:
            writer.write(protocol.encode(protocol.Subscribe(v=protocol.VERSION, id=str(next(self.ids)))))
            connected()
            while line := await reader.readline():
                self.take(line)
        except (OSError, ValueError, asyncio.LimitOverrunError):
            pass  # a connection that speaks nonsense is as good as ended
        finally:
            self.writer = None
            writer.close()
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(NoAnswer("the connection ended before the answer"))
            self.waiting.clear()

    def take(self, line: bytes) -> None:
        reply = protocol.decode_reply(line)
        if reply.push == "snapshot":
            self.on_snapshot(msgspec.json.decode(reply.snapshot, type=Snapshot))
            return
        future = self.waiting.pop(reply.id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def call(self, make: Callable[[str], Request], kind: type[T], timeout_s: float = 5.0) -> T:
        """`make` gets the request's id. Raises NoGateway, NoAnswer, AdminError or ProtocolError."""
        if self.writer is None:
            raise NoGateway("there is no connection to the gateway")
        number = str(next(self.ids))
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        self.writer.write(protocol.encode(make(number)))
        try:
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError:
            raise NoAnswer("out of time") from None
        finally:
            self.waiting.pop(number, None)
        return result_of(reply, kind)


def ask(kind: type[Any], **fields: Any) -> Callable[[str], Any]:
    """A request of that kind, once its id is known."""
    return lambda number: kind(v=protocol.VERSION, id=number, **fields)
