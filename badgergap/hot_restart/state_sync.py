"""Keeps operators' decisions and the endpoint list the same in all linked processes of one gateway.

A process that has exported its state to another one forwards each later manual drain, its end, each lame-duck
command, each newer endpoint list, each move of discovery and the id of each request that must not run again.
It does so from the export on, and not only once the other one has taken the clients. Changes and state use
one ordered link, so that none is lost in between. The receiver applies them in order, as soon as its proxy
has started.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from badgergap.hot_restart import messages
from badgergap.hot_restart.channel import Link
from badgergap.hot_restart.messages import Message
from badgergap.hot_restart.state_transfer import TransferredState
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.endpoints.discovery import EndpointNews
from badgergap.proxy.lifecycle.discovery_origin import DiscoveryOrigin, follow, origin_of
from badgergap.proxy.pools import MAIN, proxy_for_endpoint
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

REPLACED = "another process"  # the author of the end of a drain that another process does not have


class StateSync:
    """Forwards changes to the processes that have the state of this one, and applies theirs."""

    def __init__(self, proxies: Callable[[], Mapping[str, Proxy]]) -> None:
        """`proxies` returns the proxies of all pools, the main one first."""
        self.proxies = proxies
        self.downstream: Downstream | None = None  # set once changes can be applied
        self.links: dict[Link, None] = {}  # to processes whose state is that of this one; in order
        self.origin: Link | None = None  # of the change being applied, which is not sent back to it
        self.early: list[tuple[Link, Message]] = []  # received before changes can be applied

    def add(self, link: Link) -> None:
        """Forward changes from now on to a process that has the state of this one, or has sent its own."""
        self.links[link] = None
        if self.downstream is not None and (known := self.downstream.validator.ids.known()):
            link.send(messages.RequestsTaken(known))

    def discard(self, link: Link) -> None:
        """Forward nothing more over a link that has ended."""
        self.links.pop(link, None)

    def start(self, downstream: Downstream) -> None:
        """Apply the changes that have been received, and from now on each one when it is received."""
        self.downstream = downstream
        downstream.validator.ids.on_taken = self.on_request_taken
        early, self.early = self.early, []
        for link, message in early:
            self._apply(downstream, link, message)

    def receive(self, link: Link, message: Message) -> None:
        """Apply a change that another process has made, now or once this one has started."""
        if self.downstream is None:
            self.early.append((link, message))
        else:
            self._apply(self.downstream, link, message)

    def replace_state(self, link: Link, state: TransferredState) -> None:
        """Replace operators' decisions, and an older endpoint list, by those of another process."""
        assert self.downstream is not None
        self.origin = link
        try:
            self.undrain_others(state)
            for drain in state.drains:
                self._apply_drain(drain.name, drain.by, drained=True)
            if state.lame_duck_age_s is None:
                self.downstream.leave_lame_duck()
            else:
                self.downstream.enter_lame_duck(state.lame_duck_age_s)
            if state.discovery is not None:
                self._follow_discovery(state.discovery)
            discovery = self.proxies()[MAIN].directory.discovery
            if discovery is not None:
                address = state.discovery.address if state.discovery is not None else discovery.address
                self._apply_news(EndpointNews(address, 0, state.endpoint_list))
        finally:
            self.origin = None

    def undrain_others(self, state: TransferredState) -> None:
        """End the manual drains that are not in a state, such as those of a file that was saved before it."""
        drained = {drain.name for drain in state.drains}
        for name in self.proxies()[MAIN].directory.registry.drains.keys() - drained:
            self._apply_drain(name, REPLACED, drained=False)

    def on_request_taken(self, request_id: bytes) -> None:
        """Tell the other processes of a request that must not run again, before it is sent to an endpoint."""
        if self.links:
            self.notify(messages.RequestsTaken((request_id,)))

    def on_discovery_moved(self) -> None:
        """Tell the other processes that this one follows discovery at another address."""
        origin = origin_of(self.proxies()[MAIN].latest_config)
        if origin is not None:
            self.notify(messages.DiscoveryMoved(origin))

    def notify(self, message: Message) -> None:
        """Forward a change to all linked processes, except to the one that has made it."""
        for link in list(self.links):
            if link is not self.origin:
                link.send(message)

    def _apply(self, downstream: Downstream, link: Link, message: Message) -> None:
        """Apply a change; an unknown message is logged and ignored."""
        self.origin = link
        try:
            match message:
                case messages.ManualDrainChanged(endpoint, by, drained):
                    self._apply_drain(endpoint, by, drained)
                case messages.LameDuckChanged(is_lame_duck):
                    (downstream.enter_lame_duck if is_lame_duck else downstream.leave_lame_duck)()
                case messages.EndpointsChanged(news):
                    self._apply_news(news)
                case messages.DiscoveryMoved(origin):
                    self._follow_discovery(origin)
                case messages.RequestsTaken(request_ids):
                    downstream.validator.ids.remember_all(request_ids)
                case _:
                    log.warning(
                        "ignored an unknown message of another process: %.200r", messages.encode(message)
                    )
        finally:
            self.origin = None

    def _apply_drain(self, endpoint: str, by: str, drained: bool) -> None:
        proxy = proxy_for_endpoint(self.proxies().values(), endpoint)
        proxy.directory.apply_manual_drain(endpoint, by, drained)

    def _follow_discovery(self, other: DiscoveryOrigin) -> None:
        proxy = self.proxies()[MAIN]
        proxy.latest_config = follow(proxy.latest_config, other)
        proxy.directory.reload(proxy.latest_config)

    def _apply_news(self, news: EndpointNews) -> None:
        discovery = self.proxies()[MAIN].directory.discovery
        if discovery is None:
            return
        try:
            discovery.adopt(news)
        except ValueError as error:
            log.warning("an endpoint list of another process could not be read: %s", error)
