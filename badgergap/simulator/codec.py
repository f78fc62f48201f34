"""The bench's text wire: lines to events and settings, actions to lines. Parsing and formatting only."""

from __future__ import annotations

import base64
import binascii
import json
import math
from collections.abc import Callable, Mapping
from typing import Any

from badgergap.balancing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdleConnections,
    Idempotency,
    Event,
    ExtendTimeout,
    Fail,
    FetchEndpoints,
    Goal,
    ListedEndpoint,
    EndpointListKind,
    Log,
    Outcome,
    PeerMessage,
    Prices,
    HealthCheck,
    HealthCheckEnded,
    Reject,
    RequestArrived,
    RequestClass,
    ClientDisconnected,
    DeduplicationScope,
    Send,
    EndpointStatus,
    SetTimer,
    Settings,
    StreamStarted,
    SendPeerMessage,
    TimerFired,
    WatchEndpoints,
)
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings, ReportMode, Reports, Tenant

Fields = Mapping[str, str]

EFFECTS = {"free": Idempotency.SAFE, "guarded": Idempotency.KEYED, "single_shot": Idempotency.UNSAFE}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.GROUP}
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
REPORT_MODES = {"silent": ReportMode.NONE, "piggyback": ReportMode.ANSWERS, "pull": ReportMode.PROBES}
PRICES = {
    "crossZone": "cross_zone",
    "waste": "waste",
    "lateFail": "late_fail",
    "connection": "connection",
    "handshake": "handshake",
    "probe": "probe",
    "peer": "peer",
    "membershipMode": "list_lines",
    "origin": "origin",
    "moves": "moves",
    "fleet": "fleet",
}
TEXT_FIELDS = {"launch": " bootInfo="}


class WireError(ValueError):
    """A line that cannot be read; the message says why."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Take a line apart into its message name and its fields."""
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    text_mark = TEXT_FIELDS.get(name)
    if text_mark is not None:
        before, mark, text = (" " + rest).partition(text_mark)
        if mark:
            fields[text_mark.strip(" =")] = text
        rest = before.strip()
    for part in rest.split():
        key, mark, value = part.partition("=")
        if not mark:
            raise WireError(f"'{part}' is not name=value")
        fields[key] = value
    return name, fields


def parse_settings(text: str) -> Settings:
    """Read the settings object of a launch; unknown keys are ignored, missing optional ones have defaults.

    The keys that the proxy or nothing reads must be usable too. Raises WireError.
    """
    raw = _settings_object(text)
    try:
        settings = _settings(raw)
        _proxy_settings(raw)
        _check_unread_keys(raw)
    except ValueError as error:
        raise WireError(f"settings cannot be used: {error}") from None
    return settings


def parse_proxy_settings(text: str) -> ProxySettings:
    """Read what the proxy itself needs of the same object. Raises WireError."""
    try:
        return _proxy_settings(_settings_object(text))
    except ValueError as error:
        raise WireError(f"settings cannot be used: {error}") from None


def _settings_object(text: str) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise WireError("settings are not an object")
    return raw


class Reader:
    """Typed access to one object of the settings; what is unusable is named by its path.

    All methods that read a value raise WireError if it has the wrong type or is out of range.
    """

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise WireError(f"{path or 'settings'} is not an object")
        self.raw: dict[str, Any] = raw
        self.path = path

    def name(self, key: str) -> str:
        """Return the path of a key from the root of the settings, such as `caps.maxAttempts`."""
        return f"{self.path}.{key}" if self.path else key

    def part(self, key: str) -> Reader:
        """Return a reader of the object under this key, an empty one if the key is missing."""
        return Reader(self.raw.get(key, {}), self.name(key))

    def items(self, key: str) -> list[Any]:
        """Return the list under this key, an empty one if the key is missing."""
        value = self.raw.get(key, [])
        if not isinstance(value, list):
            raise WireError(f"{self.name(key)} is not a list")
        return value

    def parts(self, key: str) -> list[Reader]:
        """Return a reader for each object of the list under this key."""
        return [Reader(item, f"{self.name(key)}[{n}]") for n, item in enumerate(self.items(key))]

    def number(self, key: str, default: float) -> float:
        """Return a finite number, 0 or more, in the unit of the key."""
        value = self.raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise WireError(f"{self.name(key)} is not a finite number")
        if value < 0:
            raise WireError(f"{self.name(key)} is below 0")
        return float(value)

    def whole(self, key: str, default: int) -> int:
        """Return a number of 0 or more, with any fraction cut off."""
        return int(self.number(key, default))

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean; an integer counts as true unless it is 0."""
        value = self.raw.get(key, default)
        if not isinstance(value, bool | int):
            raise WireError(f"{self.name(key)} is not true or false")
        return bool(value)

    def word(self, key: str, default: str, known: Mapping[str, Any]) -> Any:
        """Return what `known` maps the word under this key to; an unknown word raises WireError."""
        value = self.raw.get(key, default)
        if not isinstance(value, str) or value not in known:
            raise WireError(f"{self.name(key)} '{value}' is unknown")
        return known[value]


def _settings(raw: dict[str, Any]) -> Settings:
    boot = Reader(raw)
    caps, contract, goal, prices = (boot.part(k) for k in ("caps", "contract", "objectiveMix", "prices"))
    family = boot.part("familyInfo")
    advice = caps.flag("retryAfter")
    return Settings(
        classes=tuple(_request_class(lane) for lane in boot.parts("lanes")),
        goal=Goal(
            whole=goal.number("whole", 1.0),
            worst_window=goal.number("worstWindow", 0.0),
            worst_class=goal.number("worstClass", 0.0),
            worst_tenant=goal.number("worstTenant", 0.0),
        ),
        prices=Prices(**{field: prices.number(key, 0.0) for key, field in PRICES.items()}),
        weight_by_work=boot.word("worthBy", "request", {"work": True, "request": False}),
        proxy_count=boot.whole("balancers", 1),
        proxy_index=boot.whole("index", 0),
        zone=boot.whole("zone", 0),
        clients_mark_retries=boot.part("clients").flag("marksRetry"),
        max_attempts=caps.whole("maxAttempts", 3),
        may_cancel=caps.flag("mayCancel"),
        hedging_allowed=caps.flag("secondCopies"),
        weights_follow_load=boot.raw.get("weights") == "live",
        sticky_keys=family.flag("warmKeys"),
        endpoint_list_is_pushed=boot.word("membershipMode", "pushed", {"pushed": True, "on_request": False}),
        max_poll_interval_us=contract.whole("mustAskInUs", 10_000_000),
        max_retry_after_us=caps.whole("maxRetryAfterUs", 1_000_000) if advice else 0,
        cold_capacity=contract.number("startCapacity", 1.0),
        warm_up_us=contract.whole("warmAfterUs", 0),
        overload_multiple=contract.number("tipMultiple", 1.0),
        overload_window_us=contract.whole("fallUs", 1_000_000),
        rejected_may_have_run=contract.flag("fullUnproven"),
        ordered_key_quiet_us=contract.whole("keyQuietUs", 0),
    )


def _proxy_settings(raw: dict[str, Any]) -> ProxySettings:
    boot = Reader(raw)
    caps, contract, report = boot.part("caps"), boot.part("contract"), boot.part("report")
    return ProxySettings(
        tenants=tuple(
            Tenant(tenant.number("allowancePerS", 0.0), tenant.number("fraction", 0.0))
            for tenant in boot.parts("tenants")
        ),
        reports=Reports(report.word("how", "silent", REPORT_MODES), tuple(map(str, report.items("fields")))),
        may_probe=caps.flag("probes"),
        may_message=caps.flag("peers"),
        connect_timeout_us=caps.whole("connectTimeoutUs", 0),
        idle_connection_us=caps.whole("keepaliveUs", 0),
        max_open_requests=caps.whole("mostHeld", 0),
        drain_grace_us=contract.whole("stopSendingWithinUs", 0),
    )


def _check_unread_keys(raw: dict[str, Any]) -> None:
    """Raise for an unusable value of a key that nothing reads, so that a mistake is found at the launch."""
    boot = Reader(raw)
    caps = boot.part("caps")
    for key in ("zones", "shapes", "tiers"):
        boot.items(key)
    boot.whole("stage", 0)
    boot.part("familyInfo").flag("passesDeadline")
    boot.part("contract").whole("answerSlackUs", 0)
    caps.number("cpuUsPerS", 0.0)
    caps.number("cpuUsPerRequest", 0.0)
    if caps.whole("multiplex", 1) < 1:
        raise ValueError("caps.multiplex is below 1")
    if boot.number("overShareWorth", 1.0) > 1:
        raise ValueError("overShareWorth is above 1")


def _request_class(lane: Reader) -> RequestClass:
    if "giveUpUs" not in lane.raw:
        raise WireError(f"{lane.name('giveUpUs')} is missing")
    give_up_us = lane.whole("giveUpUs", 0)
    return RequestClass(
        objective_us=lane.whole("aimUs", give_up_us),
        client_timeout_us=give_up_us,
        priority_weight=lane.number("value", 1.0),
        late_weight=lane.number("lateValue", 0.0),
        idempotency=lane.word("effect", "single_shot", EFFECTS),
        deduplication_scope=lane.word("group", "all", SCOPES),
        deduplication_window_us=lane.whole("windowUs", 0),
        in_order=lane.flag("sequential"),
        streamed=lane.flag("streamed"),
        objective_stretch=lane.number("aimStretch", 0.0),
    )


def parse_load(text: str) -> tuple[tuple[str, float], ...]:
    """A load report; a value that is not a number is left out: reports are advice."""
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


def parse_server(fields: Fields) -> ListedEndpoint:
    """Read an entry of an endpoint list; its start time is in microseconds.

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
    """Read the arrival of a request: client timeout and expected work in microseconds, the key in hex.

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
    """Read the end of an attempt, with its duration in microseconds and the load report that came along.

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
    """Read that a client has gone. Raises KeyError if the request is not named."""
    return ClientDisconnected(fields["requestId"])


def parse_streaming(fields: Fields) -> StreamStarted:
    """Read that an attempt's response has started to stream.

    Raises KeyError for a missing field and ValueError for an attempt number that is not an integer.
    """
    return StreamStarted(fields["requestId"], int(fields["shot"]))


def parse_pong(fields: Fields) -> HealthCheckEnded:
    """Read the result of a health check: its outcome, duration in microseconds and load report.

    Raises KeyError for a missing field or an unknown verdict, and ValueError for one that is not a number.
    """
    return HealthCheckEnded(
        int(fields["host"]),
        OUTCOMES[fields["verdict"]],
        int(fields.get("durationUs", "0")),
        parse_load(fields.get("pressure", "")),
    )


def parse_inbox(fields: Fields) -> PeerMessage:
    """Read a message of another gateway, in base64; `-` stands for an empty one.

    Raises WireError for bad base64, KeyError for a missing field and ValueError for a bad sender number.
    """
    text = fields["bytes"]
    try:
        data = b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise WireError(f"bytes are not base64: {error}") from None
    return PeerMessage(int(fields["src"]), data)


def parse_reminder(fields: Fields) -> TimerFired:
    """Read that a timer is due. Raises KeyError if its token is missing, ValueError if it is no integer."""
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
    """Write an action as one line without a line end; times are in microseconds.

    Raises ValueError for ExtendTimeout, which the wire has no word for.
    """
    match action:
        case Send():
            wait_us = action.timeout_us
            return f"pass_on requestId={action.request_id} maxWaitUs={wait_us} host={action.endpoint_id}"
        case ExtendTimeout():
            raise ValueError("no request is joined to another on this wire")
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
