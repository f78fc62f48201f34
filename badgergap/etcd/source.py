"""etcd as a source of hosts: the follower, its calls and the gateway's loop put together."""

from __future__ import annotations

import asyncio
import gc
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from badgergap.balancing.interface import EndpointListKind
from badgergap.etcd.client import Calls, Login
from badgergap.etcd.follow import (
    Alarm,
    AskProgress,
    Begin,
    End,
    Event,
    Follower,
    List,
    LogIn,
    Shout,
    State,
    Tell,
    Times,
    Trust,
    Watch,
    Watched,
    Woken,
)
from badgergap.etcd.hosts import Hosts
from badgergap.etcd.values import Places
from badgergap.proxy.endpoints.sources import EndpointUpdate, OnUpdate
from badgergap.proxy.lifecycle.config import Address, Config
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

MANY = 200  # keys: a list that is longer is a long one


@dataclass(frozen=True, slots=True)
class Options:
    endpoints: tuple[Address, ...]
    prefix: bytes
    seed: int
    times: Times
    tls: ssl.SSLContext | None = None
    login: Login | None = None


class EtcdSource:
    """A dynamic source. It follows the prefix from its start to its close, whatever etcd does."""

    name, rank, dynamic, fallback = "etcd", 10, True, False

    def __init__(
        self,
        options: Options,
        loop: asyncio.AbstractEventLoop,
        now_us: Callable[[], int],
        places: Places,
        news: OnUpdate,
    ) -> None:
        self.options = options
        self.loop = loop
        self.now_us = now_us
        self.news = news
        self.hosts = Hosts(options.prefix, places)
        self.follower = Follower(
            len(options.endpoints), options.seed, login=options.login is not None, times=options.times
        )
        self.calls = Calls(
            loop,
            options.endpoints,
            options.prefix,
            options.tls,
            options.login,
            self.feed,
            options.times.call_us / 1e6,
        )
        self.slicing: asyncio.Handle | None = None
        self.alarm: asyncio.TimerHandle | None = None
        self.trouble = "not reached yet"
        self.closed = False
        self.collector_rests = False

    def start(self) -> None:
        self.feed(Begin())

    def watch(self, on: bool) -> None:
        """Nothing to do: it always watches."""

    def fetch(self) -> None:
        """Nothing to do: the watch is up to date, or a list is on its way."""

    def describe(self) -> str:
        follower = self.follower
        host, port = self.options.endpoints[follower.endpoint]
        where = f"{host}:{port}, revision {follower.revision}, {follower.state.value}"
        return f"{where}; {self.trouble}" if self.trouble else where

    def feed(self, event: Event) -> None:
        if self.closed:
            return
        for action in self.follower.handle(self.now_us(), event):
            match action:
                case List() | Watch() | LogIn() | AskProgress() | End():
                    self.calls.carry_out(action)
                case Alarm():
                    if self.alarm is not None:
                        self.alarm.cancel()
                    delay_s = max(0, action.at_us - self.now_us()) / 1e6
                    self.alarm = self.loop.call_later(delay_s, self.feed, Woken(action.token))
                case Tell():
                    self.hosts.take(action.changes)
                    if len(self.follower.told) > MANY and self._lists() and not self.collector_rests:
                        self.collector_rests = True
                        gc.disable()
                    if self.slicing is None:
                        self.tell_slice()
                case Trust():
                    self._trust(action)
                case Shout():
                    log.error("etcd: %s", action.text)
        if isinstance(event, Watched) and not event.changes:
            self.news(EndpointUpdate(EndpointListKind.DELTA))  # a word, though nothing has changed

    def _trust(self, action: Trust) -> None:
        self.trouble = action.why
        if action.current:
            log.info("etcd: followed at revision %d", self.follower.revision)
            self.news(EndpointUpdate(EndpointListKind.DELTA))
        else:
            log.warning("etcd: %s; the last list stands", action.why)
            self.news(EndpointUpdate(EndpointListKind.ERROR))

    def tell_slice(self) -> None:
        """A slice now, and the rest in further turns of the loop: requests go on in between."""
        self.slicing = None
        if self.closed:
            return
        for note in self.hosts.read():
            log.warning("etcd: %s", note)
        news = self.hosts.next_slice()
        if news is not None:
            self.news(news)
        if self.hosts.busy:
            self.slicing = self.loop.call_soon(self.tell_slice)
        elif self.collector_rests and not self._lists():
            self._wake_collector()

    def _lists(self) -> bool:
        return self.follower.state is State.LISTING

    def _wake_collector(self) -> None:
        """What a long list has made lives long: it is never looked at by the collector.

        Guards against collections that go over all hosts of a large fleet and stall the loop meanwhile.
        """
        self.collector_rests = False
        gc.enable()
        gc.freeze()

    def close(self) -> None:
        self.closed = True
        if self.collector_rests:
            self._wake_collector()
        if self.alarm is not None:
            self.alarm.cancel()
        self.calls.close()


class EtcdRoom:
    """Lets the source into the gateway."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.source: EtcdSource | None = None

    def join(self, proxy: Proxy) -> None:
        names = proxy.config.names
        places = Places(
            {name: number for number, name in enumerate(names.zones)},
            {name: number for number, name in enumerate(names.kinds)},
            proxy.settings.zone,
        )
        self.source = EtcdSource(
            self.options,
            proxy.loop,
            proxy.clock.now_us,
            places,
            partial(proxy.directory.receive_update, EtcdSource.name),
        )
        proxy.directory.add_source(self.source)

    async def start(self) -> None:
        """It begins with the other sources."""

    def reload(self, config: Config) -> None:
        """Endpoints and credentials need a restart; a password file is read anew at each login."""

    async def close(self) -> None:
        """It is closed with the other sources."""
