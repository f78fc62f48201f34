"""What the operator file says of ordinary HTTP, in this package's terms. Pure data and one choice."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from badgergap.ordinary.heads import Network, RequestHead
from badgergap.proxy.lifecycle.config import Address
from badgergap.proxy.pools import MAIN
from badgergap.routes import Route, Table

# RFC 9110 section 9.2.2: what a client, and so a gateway, may repeat by itself. TRACE is refused.
REPEATABLE = frozenset((b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"))
DEFAULT_FAILING = frozenset(range(500, 600))


@dataclass(frozen=True, slots=True)
class Variants:
    """The balancer's numbers of one class, by what a repeat of the request would do."""

    repeatable: int
    unsafe: int
    keyed: int | None = None  # of requests with Idempotency-Key

    def of(self, head: RequestHead) -> int:
        if self.keyed is not None and head.by_name.get(b"idempotency-key"):
            return self.keyed
        return self.repeatable if head.method in REPEATABLE else self.unsafe


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """What a route leads to."""

    route: Route
    variants: Variants
    answer_us: int  # until the answer must have begun
    between_s: float  # until the next byte of a body
    upload_limit: int  # bytes of a request's body
    pools: tuple[tuple[str, float], ...] = ((MAIN, 1.0),)  # and the weight of each
    spare: str | None = None  # used while the one chosen has nothing able, and by what it has failed
    tenant: tuple[int, bytes] = (0, b"")  # its number among the configuration's, and its name for the box
    failing: frozenset[int] = DEFAULT_FAILING
    whole_s: float | None = None  # from the head of the request to the end of the answer
    needs_certificate: bool = False  # of the client
    join: bool = False  # reads that are the same share one request to a box
    once_us: int = 0  # for which what a request with a key did is kept; 0: it is not


@dataclass(frozen=True, slots=True)
class Limits:
    """Of every connection; seconds."""

    head_s: float = 10.0  # for a whole head; of a new connection from its accept
    body_s: float = 300.0  # for a whole body
    between_s: float = 60.0  # between two reads of a body
    unread_s: float = 60.0  # for which a client may take nothing of its answer
    idle_s: float = 60.0  # between requests
    tunnel_s: float = 3600.0  # for which a tunnel may be quiet
    handshake_s: float = 10.0  # of TLS
    end_s: float = 10.0  # for streams and tunnels, when the gateway ends
    connections: int = 480


@dataclass(frozen=True, slots=True)
class WebPlan:
    listen: Address
    limits: Limits
    routes: tuple[RoutePlan, ...]
    trusted: tuple[Network, ...] = ()
    listen_tls: Address | None = None
    table: Table = field(init=False, compare=False)
    by_name: dict[str, RoutePlan] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "table", Table(plan.route for plan in self.routes))
        object.__setattr__(self, "by_name", {plan.route.name: plan for plan in self.routes})


def turns_to_spare(able: bool, tried: bool, may_have_run: bool, repeatable: bool) -> bool:
    """Whether a request that its pool has refused goes to the spare one.

    `able`: the pool could serve others like it. What it sheds because it is full does not go on: that would
    push the spare over as well. What may have run goes on only if any box may run it again: boxes that drop
    repeats of a key remember those of their own pool.
    """
    return (tried or not able) and (repeatable or not may_have_run)


def choose(pools: Sequence[tuple[str, float]], point: float) -> str:
    """The pool at a point from 0 to 1, each as wide as its weight; one of no weight is never chosen."""
    point *= sum(weight for _, weight in pools)
    for name, weight in pools:
        point -= weight
        if point < 0.0 and weight > 0.0:
            return name
    return next(name for name, weight in reversed(pools) if weight > 0.0)
