"""Codec of the simulator's text protocol: parses lines to events and formats actions as lines.

The settings object of a launch is parsed in `settings_parser`.
"""

from __future__ import annotations

import base64
import binascii
import math
from collections.abc import Callable, Mapping

from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointListKind,
    EndpointStatus,
    Event,
    ExtendTimeout,
    Fail,
    FetchEndpoints,
    HealthCheck,
    HealthCheckEnded,
    ListedEndpoint,
    Log,
    Outcome,
    PeerMessage,
    Reject,
    RequestArrived,
    Send,
    SendPeerMessage,
    SetTimer,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from badgergap.errors import BadgergapError

Fields = Mapping[str, str]

STATUSES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.GONE,
}
LIST_KINDS = {
    "diff": EndpointListKind.DELTA,
    "snapshot": EndpointListKind.FULL,
    "disk": EndpointListKind.DISK,
    "error": EndpointListKind.ERROR,
}
OUTCOMES = {
    "200": Outcome.SUCCESS,
    "502": Outcome.ERROR,
    "429": Outcome.REJECTED,
    "408": Outcome.TIMEOUT,
    "521": Outcome.CONNECT_FAILED,
    "520": Outcome.RESET,
    "444": Outcome.CANCELLED,
    "409": Outcome.NEVER_SENT,
}
TEXT_FIELDS = {"launch": " bootInfo="}


class WireError(BadgergapError, ValueError):
    """A line or settings object is invalid; the message gives the reason."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Split a line into its message name and fields. Raises WireError if a part is not a field."""
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    text_prefix = TEXT_FIELDS.get(name)
    if text_prefix is not None:
        before, separator, text = (" " + rest).partition(text_prefix)
        if separator:
            fields[text_prefix.strip(" =")] = text
        rest = before.strip()
    for part in rest.split():
        key, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"'{part}' is not name=value")
        fields[key] = value
    return name, fields


def parse_load(text: str) -> tuple[tuple[str, float], ...]:
    """Parse a load report; values that are not finite numbers are omitted, since reports are advisory."""
    pairs: list[tuple[str, float]] = []
    for part in text.split(","):
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            pairs.append((name, number))
    return tuple(pairs)


def parse_listed_endpoint(fields: Fields) -> ListedEndpoint:
    """Parse an entry of an endpoint list; its start time is in microseconds.

    Raises WireError for a weight that is not finite and above 0, KeyError for a missing host or an unknown
    status, and ValueError for a field that is not a number.
    """
    if not 0.0 < float(fields.get("heft", "1")) < math.inf:
        raise WireError("heft is not a finite number above 0")
    return ListedEndpoint(
        endpoint_id=int(fields["host"]),
        status=STATUSES[fields.get("status", "Ready")],
        weight=float(fields.get("heft", "1")),
        zone=int(fields.get("campus", "0")),
        group=int(fields.get("group", "0")),
        kind=int(fields.get("classOfHost", "0")),
        started_us=int(fields.get("sinceUs", "0")),
    )


def parse_incoming(fields: Fields) -> RequestArrived:
    """Parse the arrival of a request: client timeout and expected work in microseconds, key in hex.

    Raises KeyError for a missing field and ValueError for one that is not a number.
    """
    key, work = fields.get("affinity"), fields.get("costUs")
    return RequestArrived(
        fields["requestId"],
        int(fields.get("priority", "0")),
        int(fields["graceUs"]),
        int(key, 16) if key is not None else None,
        int(work) if work is not None else None,
        fields.get("retry") == "1",
        int(fields.get("customer", "0")),
        fields.get("isWrite") == "1",
    )


def parse_outcome(fields: Fields) -> AttemptEnded:
    """Parse the end of an attempt, with its duration in microseconds and an optional load report.

    Raises KeyError for a missing field or an unknown verdict, and ValueError for one that is not a number.
    """
    return AttemptEnded(
        fields["requestId"],
        int(fields["shot"]),
        int(fields["host"]),
        OUTCOMES[fields["verdict"]],
        int(fields.get("durationUs", "0")),
        fields.get("ended") == "1",
        parse_load(fields["pressure"]) if "pressure" in fields else (),
    )


def parse_dropped(fields: Fields) -> ClientDisconnected:
    """Parse the disconnection of a client. Raises KeyError if the request identifier is missing."""
    return ClientDisconnected(fields["requestId"])


def parse_streaming(fields: Fields) -> StreamStarted:
    """Parse the start of a streamed response.

    Raises KeyError for a missing field and ValueError for an attempt number that is not an integer.
    """
    return StreamStarted(fields["requestId"], int(fields["shot"]))


def parse_pong(fields: Fields) -> HealthCheckEnded:
    """Parse the result of a health check: its outcome, duration in microseconds and load report.

    Raises KeyError for a missing field or an unknown verdict, and ValueError for one that is not a number.
    """
    return HealthCheckEnded(
        int(fields["host"]),
        OUTCOMES[fields["verdict"]],
        int(fields.get("durationUs", "0")),
        parse_load(fields.get("pressure", "")),
    )


def parse_inbox(fields: Fields) -> PeerMessage:
    """Parse a message from another gateway, in base64; `-` stands for an empty one.

    Raises WireError for bad base64, KeyError for a missing field and ValueError for a bad sender number.
    """
    text = fields["bytes"]
    try:
        data = b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise WireError(f"bytes are not base64: {error}") from None
    return PeerMessage(int(fields["src"]), data)


def parse_reminder(fields: Fields) -> TimerFired:
    """Parse a due timer. Raises KeyError for a missing token, ValueError if it is not an integer."""
    return TimerFired(int(fields["keyBack"]))


PARSERS: dict[str, Callable[[Fields], Event]] = {
    "incoming": parse_incoming,
    "outcome": parse_outcome,
    "dropped": parse_dropped,
    "streaming": parse_streaming,
    "reminder": parse_reminder,
    "pong": parse_pong,
    "inbox": parse_inbox,
}


def format_action(action: Action) -> str:
    """Format an action as one line without a line ending; times are in microseconds.

    Raises ValueError for ExtendTimeout, which the protocol does not support.
    """
    match action:
        case Send():
            timeout_us = action.timeout_us
            return f"pass_on requestId={action.request_id} maxWaitUs={timeout_us} host={action.endpoint_id}"
        case ExtendTimeout():
            raise ValueError("the simulator protocol has no message to extend a timeout")
        case SetTimer():
            return f"notify_me dueAtUs={action.due_us} keyBack={action.token}"
        case Reject():
            return f"bounce requestId={action.request_id} comeBackUs={action.retry_after_us}"
        case Fail():
            return f"surrender requestId={action.request_id}"
        case Cancel():
            return f"retract requestId={action.request_id} shot={action.attempt_number}"
        case WatchEndpoints():
            return f"track on={int(action.on)}"
        case FetchEndpoints():
            return "snapshot"
        case HealthCheck():
            return f"ask_load host={action.endpoint_id}"
        case CloseIdleConnections():
            return f"hang_up host={action.endpoint_id}"
        case SendPeerMessage():
            dest = -1 if action.proxy is None else action.proxy
            data = base64.b64encode(action.data).decode() or "-"
            return f"broadcast_to dest={dest} bytes={data}"
        case Log():
            return f"journal_line line={action.line}"
