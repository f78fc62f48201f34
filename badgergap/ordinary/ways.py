"""The way of each request: its route, its pool, what the proxy is asked. One for all listeners of a site."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from badgergap.balancing.interface import Idempotency
from badgergap.ordinary.heads import request_id
from badgergap.ordinary.plan import WebPlan, choose, turns_to_spare
from badgergap.ordinary.turn import Carry, Guard, Join, Turn, Way
from badgergap.proxy.gateway_responses import plain_text, service_unavailable
from badgergap.proxy.pools import Pools
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Launch, RequestSpec
from badgergap.proxy.upstream.exchange import Answer
from badgergap.proxy.upstream.stream_attempt import ProgressTimeouts
from badgergap.routes import PathError, read_host, read_target

READS = (b"GET", b"HEAD", b"OPTIONS")


class Ways:
    def __init__(
        self, plan: WebPlan, pools: Pools, loop: asyncio.AbstractEventLoop, seed: int, carry: Carry
    ) -> None:
        """`carry` has an exchange carried to a host."""
        self.plan, self.pools, self.loop, self.carry = plan, pools, loop, carry
        self.random = random.Random(seed)
        self.joins: Join | None = None  # set while a route of the plan joins
        self.once: Guard | None = None  # set where this gateway keeps copies
        self.alt_svc = b""  # where else the site is served, for those who come over TLS (RFC 7838)
        self.id_base, self.ids = secrets.token_hex(6).encode(), 0

    def take(self, turn: Turn) -> Answer | None:
        """Find the request's way, or the answer that it gets at once."""
        self.ids += 1
        turn.number = request_id(turn, b"%b%x" % (self.id_base, self.ids))
        if turn.method in (b"CONNECT", b"TRACE"):
            turn.keep_alive = False
            return plain_text(405, f"{turn.method.decode()} is not served here")
        if turn.target == b"*" and turn.method == b"OPTIONS":
            return Answer(204, [])
        try:
            target = read_target(turn.target)
            host_as_said = target.authority or turn.host
            host = read_host(host_as_said) if host_as_said else ""
        except PathError as bad:
            turn.keep_alive = False  # what it asks cannot be read: no trust in what follows either
            return plain_text(400, str(bad))
        plan = self.plan
        route = plan.table.match(host, target.path, turn.method, turn.by_name)
        if route is None:
            return self._unrouted(host, target.path, turn.method)
        to = plan.by_name[route.name]
        if to.needs_certificate and turn.peer.certificate is None:
            return plain_text(403, "this needs a client certificate")
        turn.upload.limit = to.upload_limit
        if turn.length is not None and turn.length > to.upload_limit:
            return plain_text(413, f"body over {to.upload_limit} bytes")
        klass = to.variants.of(turn)
        proxy, spare = self._pool_for(to.pools, to.spare, klass)
        if proxy is None:
            return service_unavailable("no pool serves this")
        turn.way = Way(
            proxy,
            klass,
            route.rewrite(target.path),
            target.query,
            host_as_said,
            to.answer_us,
            ProgressTimeouts(to.between_s, to.answer_us / 1e6, plan.limits.tunnel_s),
            to.failing.__contains__,
            to.whole_s,
            to.tenant,
            spare,
            route=to.route.name,
            join=self.joins if to.join else None,
            once=self.once if to.once_us else None,
            once_us=to.once_us,
        )
        return None

    def _unrouted(self, host: str, path: bytes, method: bytes) -> Answer:
        methods = self.plan.table.allowed_methods(host, path)
        if methods and method not in methods:
            return plain_text(405, "no route takes this method here", (b"allow", b", ".join(sorted(methods))))
        return plain_text(404, "no route leads here")

    def _pool_for(
        self, pools: tuple[tuple[str, float], ...], spare: str | None, klass: int
    ) -> tuple[Proxy | None, Proxy | None]:
        """The pool that a request goes to, and the one for what that refuses."""
        name = pools[0][0] if len(pools) == 1 else choose(pools, self.random.random())
        proxy = self.pools.proxy(name)
        if spare is not None and (proxy is None or not proxy.has_eligible_endpoint(klass)):
            other = self.pools.proxy(spare)
            if other is not None and (proxy is None or other.has_eligible_endpoint(klass)):
                return other, None
            return proxy, other
        return proxy, self.pools.proxy(spare) if spare is not None else None

    def wrote(self, turn: Turn) -> Callable[[], None] | None:
        """What is to be done once a request that may change something is answered."""
        if self.joins is None or turn.method in READS or turn.way is None:
            return None
        return partial(self.joins.wrote, turn.way.proxy)

    def asked(self, turn: Turn, launch: Launch, again: Callable[[], None]) -> RequestSpec:
        """What the proxy is asked. `again` is called, later, once the way leads to the spare pool."""
        way = turn.way
        assert way is not None
        now = self.loop.time()
        way.began_at = way.began_at or now

        def elsewhere(tried: bool, may_have_run: bool) -> bool:
            spare, able = way.spare, way.proxy.has_eligible_endpoint(way.klass)
            effect = way.proxy.settings.classes[way.klass].idempotency
            if spare is None or spare is way.proxy or not turn.upload.is_held:
                return False
            if not turns_to_spare(able, tried, may_have_run, effect is Idempotency.SAFE):
                return False
            turn.way = replace(way, proxy=spare, spare=None)
            self.loop.call_soon(again)
            return True

        return RequestSpec(
            request_class=way.klass,
            client_timeout_us=way.answer_us,
            waited_us=int((now - way.began_at) * 1e6),
            method=turn.method,
            target=way.path,
            headers=b"",
            launch=launch,
            tenant=way.tenant[0],
            allowed_endpoints=way.only,
            offer_elsewhere=elsewhere if way.spare is not None else None,
            on_answered=self.wrote(turn),
        )
