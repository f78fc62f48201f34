"""Which reads are the same. Pure.

The rules, stated once, with the sections of RFC 9110 and 9111 they rest on:

1. Joined are GET and HEAD (each with its own kind) with no body, of a class that may be repeated.
2. Alone is what asks for a part, on a condition, for something fresh, or to speak otherwise: ALONE
   (9110 sections 7.8, 10.1.1, 13, 14; 9111 section 5.2.1). When in doubt, alone.
3. Two are the same if route, pool, tenant, host, target and all header fields are equal, but for those of
   ABOUT_CLIENT, which say who asks or by which way and not what: unless a box has said that its answer
   varies on one (9110 section 12.5.5).
4. An answer with `Set-Cookie`, `Cache-Control` of `private` or `no-store`, or `Vary: *` is for one client.
   Its target is asked for alone from then on, for as long as it is remembered.
5. What is remembered of targets is bounded; what falls out is learnt again.
"""

from __future__ import annotations

import hashlib
import marshal
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from badgergap.proxy.body_streams import Headers

METHODS = (b"GET", b"HEAD")
ALONE = {
    b"idempotency-key": "it has a key",
    b"expect": "it waits to be told",
    b"upgrade": "it would speak otherwise",
    b"range": "it asks for a part",
    b"if-match": "it has a condition",
    b"if-none-match": "it has a condition",
    b"if-modified-since": "it has a condition",
    b"if-unmodified-since": "it has a condition",
    b"if-range": "it has a condition",
    b"cache-control": "it says how fresh the answer has to be",
    b"pragma": "it says how fresh the answer has to be",
}
ABOUT_CLIENT = frozenset(
    (
        *(b"user-agent", b"referer", b"date", b"from", b"dnt", b"priority", b"via", b"forwarded"),
        *(b"x-forwarded-for", b"x-forwarded-port", b"x-real-ip", b"x-request-id"),
        *(b"traceparent", b"tracestate", b"baggage", b"connection", b"keep-alive", b"te"),
        *(b"sec-fetch-dest", b"sec-fetch-mode", b"sec-fetch-site", b"sec-fetch-user"),
        *(b"sec-ch-ua", b"sec-ch-ua-mobile", b"sec-ch-ua-platform"),
    )
)
REMEMBERED = 1024  # targets of which something was learnt
FIELDS_MOST = 64  # header fields of a request that is joined
PERSONAL = frozenset((b"*",))  # as a Vary that nothing satisfies

Base = tuple[str, str, int, bytes, bytes, bytes]  # route, pool, tenant, method, host, target
Fields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Asked:
    """A request, as far as it matters here. `by_name`: its fields, those of one name joined by commas."""

    base: Base
    by_name: dict[bytes, bytes]
    has_body: bool
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Identity:
    base: Base
    fields: Fields  # in the order of their names

    def digest(self, secret: bytes) -> bytes:
        """A bucket that nobody can aim at without the secret."""
        # Of its parts in a form that no two sets of parts share; version 2 is the same for equal ones.
        plain = marshal.dumps((self.base, self.fields), 2)
        return hashlib.blake2b(plain, key=secret, digest_size=16).digest()


def why_alone(asked: Asked) -> str:
    """Why a request is never joined, whatever was learnt; or nothing."""
    if asked.base[3] not in METHODS:
        return "its method is not GET or HEAD"
    if not asked.repeatable:
        return "its class may not be repeated"
    if asked.has_body:
        return "it has a body"
    if len(asked.by_name) > FIELDS_MOST:
        return "it has too many headers"
    return next((why for name, why in ALONE.items() if name in asked.by_name), "")


def identity(asked: Asked, varies: Iterable[bytes] = ()) -> Identity:
    """`varies`: what answers at this target were seen to vary on."""
    on = frozenset(varies)
    fields = sorted(
        (name, value) for name, value in asked.by_name.items() if name not in ABOUT_CLIENT or name in on
    )
    return Identity(asked.base, tuple(fields))


def vary_of(headers: Headers) -> frozenset[bytes]:
    """What an answer varies on beside what is compared anyway; PERSONAL if it is for one client."""
    names = set()
    for name, value in headers:
        if name == b"set-cookie":
            return PERSONAL
        if name == b"cache-control":
            directives = {each.strip().partition(b"=")[0].lower() for each in value.split(b",")}
            if directives & {b"private", b"no-store"}:
                return PERSONAL
        if name == b"vary":
            names |= {each.strip().lower() for each in value.split(b",")}
    if b"*" in names:
        return PERSONAL
    return frozenset(names & ABOUT_CLIENT)


def agree(one: Asked, other: Asked, varies: Iterable[bytes]) -> bool:
    """Whether an answer to the one is also one to the other, by what it varies on."""
    return all(one.by_name.get(name) == other.by_name.get(name) for name in varies)


class Learned:
    """What answers have shown of their targets: the last REMEMBERED of them."""

    def __init__(self, most: int = REMEMBERED) -> None:
        self.most = most
        self.targets: OrderedDict[Base, frozenset[bytes]] = OrderedDict()

    def varies(self, base: Base) -> frozenset[bytes]:
        return self.targets.get(base, frozenset())

    def learn(self, base: Base, varies: frozenset[bytes]) -> None:
        """Once said of a target it holds: an answer that does not say it again may be another's."""
        if not varies:
            return
        self.targets[base] = self.varies(base) | varies
        self.targets.move_to_end(base)
        while len(self.targets) > self.most:
            self.targets.popitem(last=False)
