"""A TCP relay with faults on command: cut, refuse, hold (open and silent), delay, trickle.

It reads nothing of what it passes on, so it stands in front of anything, TLS too.
"""

from __future__ import annotations

import asyncio

from badgergap.standins.net import free_port


class Relay:
    def __init__(self, host: str, port: int) -> None:
        self.to = (host, port)
        self.address = ("127.0.0.1", 0)
        self.held = False
        self.delay_s = 0.0
        self.piece = 0  # bytes that are passed on at once, a thousandth of a second apart; 0: all
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.released = asyncio.Event()
        self.connections = 0

    async def start(self) -> None:
        """Listen: on the address of before, if there was one, which nobody has taken meanwhile."""
        if not self.address[1]:
            self.address = ("127.0.0.1", free_port())
        self.listener = await asyncio.start_server(self._accept, *self.address, reuse_address=True)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def refuse(self) -> None:
        """As if the process had ended: connections are reset, new ones refused. `start` brings it back."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.cut()

    def cut(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def hold(self, on: bool) -> None:
        """Pass nothing on, in either direction, on connections that stay open; new ones are taken as well."""
        self.held = on
        if not on:
            self.released.set()
            self.released = asyncio.Event()

    def stop(self) -> None:
        self.refuse()
        for task in list(self.tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.listener is None:  # it was in the backlog
            writer.transport.abort()
            return
        self.connections += 1
        self.writers.add(writer)
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(there_writer)
        for source, sink in ((reader, there_writer), (there_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._pass(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(1 << 16):
                while self.held:
                    await self.released.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.piece and len(data) > self.piece:
                    sink.write(data[: self.piece])
                    data = data[self.piece :]
                    await asyncio.sleep(0.001)
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.transport.abort()
            self.writers.discard(sink)
