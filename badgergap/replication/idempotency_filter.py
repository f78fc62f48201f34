"""The entry point for keyed requests of routes with `once`: each becomes a `KeyedRequest` or is rejected.

Limits: a key has at most `KEY_LIMIT` bytes (else 400), and at most `OPEN_REQUESTS_LIMIT` keyed requests are
open at a time (else 503).
"""

from __future__ import annotations

from badgergap.ordinary.turn import Guide, Turn
from badgergap.proxy.gateway_responses import GROUP_UNREACHABLE, plain_text, service_unavailable
from badgergap.proxy.upstream.stream_attempt import Client
from badgergap.replication.keyed_request import KeyedRequest, KeyQueue
from badgergap.replication.service import ReplicationService

KEY_HEADER = b"idempotency-key"
KEY_LIMIT = 255  # bytes
SAFE_METHODS = (b"GET", b"HEAD", b"OPTIONS")
OPEN_REQUESTS_LIMIT = 8192


class IdempotencyFilter:
    """Intercepts the keyed requests of a gateway's routes with `once`, and counts how they end."""

    def __init__(self, service: ReplicationService) -> None:
        self.service = service
        self.queues: dict[bytes, KeyQueue] = {}
        self.open_requests = 0
        self.counts: dict[str, int] = {}  # number of requests that have ended, by outcome

    def start(self, turn: Turn, client: Client, ways: Guide) -> bool:
        """Take a request over and return True; return False if it has no key or its method is safe."""
        key, way = turn.by_name.get(KEY_HEADER, b""), turn.way
        if not key or turn.method in SAFE_METHODS or way is None:
            return False
        current_epoch = way.proxy.current_epoch
        if current_epoch is not None and current_epoch() < 0:
            client.answer(service_unavailable(GROUP_UNREACHABLE))
        elif len(key) > KEY_LIMIT:
            client.answer(plain_text(400, f"Idempotency-Key over {KEY_LIMIT} bytes"))
        elif self.open_requests >= OPEN_REQUESTS_LIMIT:
            client.answer(service_unavailable("too many keyed requests"))
        elif self.service.replica_node is None:
            client.answer(service_unavailable("this gateway keeps no copies yet"))
        else:
            KeyedRequest(self, turn, client, ways, way, key).start()
        return True

    def count(self, outcome: str) -> None:
        """Count a request that has ended; `outcome` is its name in the operators' `by_end`."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
