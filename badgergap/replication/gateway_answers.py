"""The gateway's own answers to keyed requests, for outcomes without an answer of an endpoint."""

from __future__ import annotations

from badgergap.proxy.gateway_responses import plain_text, service_unavailable
from badgergap.proxy.upstream.exchange import Answer
from badgergap.replication.idempotency_record import Record
from badgergap.replication.idempotent_request import End

STATE_HEADER = b"idempotency-state"

# The status and the value of `Idempotency-State` for each outcome.
ANSWERS = {
    End.TOO_LONG: (409, b"done"),
    End.OTHER: (422, b"other"),
    End.UNDER_WAY: (409, b"under-way"),
    End.DOUBT: (409, b"in-doubt"),
    End.UNREACHABLE: (503, b"unknown"),
    End.FULL: (503, b"not-run"),
}


def gateway_answer(end: End, record: Record | None) -> Answer:
    """Return the gateway's own answer for an outcome.

    It has a `Retry-After` header if the client may repeat the request.
    """
    status, state = ANSWERS[end]
    text = end.value
    if end is End.TOO_LONG and record is not None:
        text += f"; its status was {record.status}"
    if status == 503:
        answer = service_unavailable(text)
        answer.headers.append((STATE_HEADER, state))
        return answer
    retry_after = [(b"retry-after", b"1")] if end is End.UNDER_WAY else []
    return plain_text(status, text, (STATE_HEADER, state), *retry_after)
