"""A gateway in this process that follows a stand-in etcd, with stand-in boxes behind it."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from badgergap.balancing.interface import EndpointStatus
from badgergap.etcd import EtcdRoom, EtcdSource, Options, Times
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.lifecycle.config import Config, parse_config
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.upstream.exchange import Exchange
from badgergap.proxy.upstream.stream_exchange import Http1Connection
from badgergap.standins.box import Box
from badgergap.standins.etcd import Etcd
from badgergap.standins.load import Kind, Load
from tests.sockets import configuration, settings

PREFIX = "/boxes/"
# Short, so that tests wait for little. A busy machine makes a watch look dead now and then: that costs a
# resume and changes no verdict.
TIMES = Times(call_us=2_000_000, ask_us=100_000, silence_us=600_000, restored_us=500_000)
KINDS = (Kind("look", "safe", 5.0, 10.0), Kind("pay", "keyed", 5.0, 10.0), Kind("buy", "unsafe", 5.0, 10.0))


def own_time() -> float:
    """Seconds as by time.monotonic(), less those in which this thread could run and had no processor."""
    try:
        waited_ns = int(Path("/proc/thread-self/schedstat").read_text().split()[1])
    except (OSError, IndexError):
        waited_ns = 0
    return time.monotonic() - waited_ns / 1e9


def value(box: Box, status: str = "active", **extra: object) -> str:
    return json.dumps({"address": box.address, "status": status, **extra})


@dataclass
class Told:
    """When the gateway's sockets had brought the word that a box is out, by `own_time`."""

    box: str
    at: float


@dataclass
class Site:
    etcd: Etcd
    proxy: Proxy
    downstream: Downstream
    source: EtcdSource
    boxes: dict[str, Box]
    port: int
    out: list[Told] = field(default_factory=list)
    back: list[Told] = field(default_factory=list)
    wrote: list[tuple[str, float]] = field(default_factory=list)  # the address, and when

    def note_writes(self) -> Callable[[], None]:
        """Note each request that is written to a box; what is returned ends that."""
        write = Http1Connection.write

        def noting(connection: Http1Connection, exchange: Exchange) -> None:
            self.wrote.append(("{}:{}".format(*connection.endpoint.address), own_time()))
            write(connection, exchange)

        def end() -> None:
            Http1Connection.write = write  # type: ignore[method-assign]

        Http1Connection.write = noting  # type: ignore[method-assign,assignment]
        return end

    def load(self, seed: int = 1) -> Load:
        return Load("127.0.0.1", self.port, KINDS, seed)

    def put(self, name: str, status: str = "active", **extra: object) -> int:
        return self.etcd.put(PREFIX + name, value(self.boxes[name], status, **extra))

    def delete(self, name: str) -> int:
        return self.etcd.delete(PREFIX + name)

    def known(self) -> dict[str, str]:
        """What the gateway would send to, or drain: by name."""
        views = (view.entry for view in self.proxy.directory.registry.view())
        return {e.name: e.listed.status.value for e in views if e.listed.status is not EndpointStatus.GONE}

    def truth(self) -> dict[str, str]:
        """What the store says, as the gateway should see it."""
        found = {}
        for key, version in self.etcd.store.at(PREFIX.encode(), b"/boxes0"):
            status = json.loads(version.value or b"")["status"]
            found[key.decode().removeprefix(PREFIX)] = {"active": "ready", "leaving": "draining"}[status]
        return found

    async def until_true(self) -> None:
        """Wait until the gateway knows what the store says, and trusts it."""
        while self.known() != self.truth() or not self.source.follower.current:
            await asyncio.sleep(0.005)

    def late(self, grace_s: float = 0.5) -> list[str]:
        """Requests that the gateway wrote to a box after it was told to be out, and the grace was over.

        By what is written, and not by when the box has read it; and by the time that the machine has given to
        this thread: what others take from it is not the gateway's delay.
        """
        found = []
        for told in self.out:
            ended = min((b.at for b in self.back if b.box == told.box and b.at >= told.at), default=1e18)
            address = self.boxes[told.box].address if told.box in self.boxes else ""
            found += [
                f"{told.box}: written {at - told.at:.3f} s late"
                for to, at in self.wrote
                if to == address and told.at + grace_s < at < ended
            ]
        return found


@asynccontextmanager
async def site(
    count: int = 4, members: int = 3, static: Sequence[str] = (), etcd: Etcd | None = None, **options: Any
) -> AsyncIterator[Site]:
    """`static`: boxes that stand in the platform's known list as well. All boxes are put into the store."""
    boxes = {f"box-{n + 1}": Box(f"box-{n + 1}", cores=16, queue=10_000) for n in range(count)}
    for box in boxes.values():
        await box.start()
    if etcd is None:
        etcd = Etcd()
        await etcd.start(members)
        for box in boxes.values():
            etcd.store.put((PREFIX + box.name).encode(), value(box).encode())
    known = {name: boxes[name].address for name in static}
    raw = configuration(known, "127.0.0.1:9", settings={**settings(), "membershipMode": "pushed"})
    config = parse_config(raw)
    if not static:
        config = without_discovery(config)
    loop = asyncio.get_running_loop()
    proxy = Proxy(config, loop)
    downstream = Downstream(config, proxy, loop)
    room = EtcdRoom(
        Options(tuple(etcd.endpoints), PREFIX.encode(), seed=1, **({"times": TIMES, "tls": None} | options))
    )
    room.join(proxy)
    assert room.source is not None
    await proxy.start()
    _, port = await downstream.start()
    it = Site(etcd, proxy, downstream, room.source, boxes, port)
    _note_words(it)
    no_more_notes = it.note_writes()
    try:
        yield it
    finally:
        no_more_notes()
        downstream.stop_listening()
        for connection in list(downstream.connections):
            connection.close()
        proxy.close()
        await etcd.stop()
        for box in boxes.values():
            box.die()
        await asyncio.sleep(0)


def _note_words(it: Site) -> None:
    """Note when the source hears of each box that it is out, before anything is done about it."""
    take = it.source.hosts.take

    def noting(changes: Any) -> None:
        changes, now = list(changes), own_time()
        for change in changes:
            name = change.key.decode().removeprefix(PREFIX)
            serves = change.value is not None and b'"active"' in change.value
            (it.back if serves else it.out).append(Told(name, now))
        take(changes)

    it.source.hosts.take = noting  # type: ignore[method-assign]


def without_discovery(config: Config) -> Config:
    from dataclasses import replace

    return replace(config, discovery=None)
