"""Reading ahead of the event loop."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from badgergap.proxy import unread_input
from tests.sockets import run


class FailingSocket(socket.socket):
    """A socket whose first reads fail."""

    failures: list[int]

    def recv(self, *arguments: Any) -> bytes:
        if self.failures:
            raise OSError(self.failures.pop(), "for a moment")
        return super().recv(*arguments)


# Guards against a drain that stays unread although it has arrived: requests went there beyond the grace.
@pytest.mark.parametrize("error", [errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM])
def test_data_is_read_although_reads_fail_for_a_moment(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        ours, theirs = socket.socketpair()
        transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, sock=ours)
        transport.pause_reading()
        theirs.send(b"news")
        monkeypatch.setattr(FailingSocket, "failures", [error] * 5, raising=False)
        monkeypatch.setattr("badgergap.proxy.unread_input.socket.socket", FailingSocket)
        assert list(unread_input.read_now(transport, 100)) == [b"news"]
        monkeypatch.undo()
        transport.abort()
        theirs.close()

    run(test())
