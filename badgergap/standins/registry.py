"""A registry that works by itself: the platform's discovery, with a list that is changed by call.

Faults: `cut` (watches end), `refuse` (calls are answered 503), `silent` (watches stay open and say nothing),
`delay_s` (news comes late).
"""

from __future__ import annotations

import asyncio
import json

from badgergap.standins.net import Server, read_head

HEARTBEAT_S = 2.0


class LiveRegistry(Server):
    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.entries: dict[str, dict[str, object]] = {}
        self.open: set[asyncio.StreamWriter] = set()
        self.refuse = False
        self.silent = False
        self.delay_s = 0.0
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await super().start()
        self.beats = asyncio.get_running_loop().create_task(self._beat())

    def stop(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        super().stop()

    def set(self, name: str, address: str, status: str = "active", **extra: object) -> None:
        """Name a box or change what is said of it, and tell the watches."""
        entry = {"name": name, "address": address, "zone": "", "type": "", "status": status, **extra}
        self.index += 1
        if status == "left":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [entry]})
        asyncio.get_running_loop().call_later(self.delay_s, self._tell, line)

    def cut(self) -> None:
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _ = await read_head(reader)
            if self.refuse:
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            entries = list(self.entries.values())
            whole = json.dumps({"index": self.index, "snapshot": True, "endpoints": entries})
            if "stream=1" not in first:
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(whole)}\r\n\r\n{whole}".encode())
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.open.add(writer)
            self._write(writer, whole)
            await reader.read()
            self.open.discard(writer)
            writer.close()
            return

    def _write(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\n"
        if not self.silent and not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _tell(self, line: str) -> None:
        for writer in list(self.open):
            self._write(writer, line)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._tell("")
