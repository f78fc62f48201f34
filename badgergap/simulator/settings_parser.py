"""The settings object of a launch, in JSON: its keys to the decisions' settings and to the proxy's own."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import TypedDict, TypeVar

from badgergap.balancing.interface import (
    DeduplicationScope,
    Goal,
    Idempotency,
    Prices,
    RequestClass,
    Settings,
)
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings, ReportMode, Reports, Tenant
from badgergap.simulator.codec import WireError

Value = TypeVar("Value")

EFFECTS = {"free": Idempotency.SAFE, "guarded": Idempotency.KEYED, "single_shot": Idempotency.UNSAFE}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.GROUP}
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
WEIGHTED_BY_WORK = {"work": True, "request": False}
LIST_IS_PUSHED = {"pushed": True, "on_request": False}


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


def _settings_object(text: str) -> dict[str, object]:
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
        self.raw: dict[str, object] = raw
        self.path = path

    def name(self, key: str) -> str:
        """Return the path of a key from the root of the settings, such as `caps.maxAttempts`."""
        return f"{self.path}.{key}" if self.path else key

    def part(self, key: str) -> Reader:
        """Return a reader of the object under this key, an empty one if the key is missing."""
        return Reader(self.raw.get(key, {}), self.name(key))

    def items(self, key: str) -> list[object]:
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

    def word(self, key: str, default: str, known: Mapping[str, Value]) -> Value:
        """Return what `known` maps the word under this key to; an unknown word raises WireError."""
        value = self.raw.get(key, default)
        if not isinstance(value, str) or value not in known:
            raise WireError(f"{self.name(key)} '{value}' is unknown")
        return known[value]


def _settings(raw: dict[str, object]) -> Settings:
    """Read the decisions' settings. The first unusable key in the order below is the one that is named."""
    boot = Reader(raw)
    caps, contract, goal, prices = (boot.part(k) for k in ("caps", "contract", "objectiveMix", "prices"))
    family = boot.part("familyInfo")
    advice = caps.flag("retryAfter")
    return Settings(
        classes=tuple(_request_class(lane) for lane in boot.parts("lanes")),
        goal=_goal(goal),
        prices=Prices(**{field: prices.number(key, 0.0) for key, field in PRICES.items()}),
        weight_by_work=boot.word("worthBy", "request", WEIGHTED_BY_WORK),
        proxy_count=boot.whole("balancers", 1),
        proxy_index=boot.whole("index", 0),
        zone=boot.whole("zone", 0),
        clients_mark_retries=boot.part("clients").flag("marksRetry"),
        max_attempts=caps.whole("maxAttempts", 3),
        may_cancel=caps.flag("mayCancel"),
        hedging_allowed=caps.flag("secondCopies"),
        weights_follow_load=boot.raw.get("weights") == "live",
        sticky_keys=family.flag("warmKeys"),
        endpoint_list_is_pushed=boot.word("membershipMode", "pushed", LIST_IS_PUSHED),
        max_poll_interval_us=contract.whole("mustAskInUs", 10_000_000),
        max_retry_after_us=caps.whole("maxRetryAfterUs", 1_000_000) if advice else 0,
        **_capacity_limits(contract),
        rejected_may_have_run=contract.flag("fullUnproven"),
        ordered_key_quiet_us=contract.whole("keyQuietUs", 0),
    )


def _goal(goal: Reader) -> Goal:
    return Goal(
        whole=goal.number("whole", 1.0),
        worst_window=goal.number("worstWindow", 0.0),
        worst_class=goal.number("worstClass", 0.0),
        worst_tenant=goal.number("worstTenant", 0.0),
    )


class _CapacityLimits(TypedDict):
    """What an endpoint can take while it warms up, and how it fails under too much load."""

    cold_capacity: float
    warm_up_us: int
    overload_multiple: float
    overload_window_us: int


def _capacity_limits(contract: Reader) -> _CapacityLimits:
    return {
        "cold_capacity": contract.number("startCapacity", 1.0),
        "warm_up_us": contract.whole("warmAfterUs", 0),
        "overload_multiple": contract.number("tipMultiple", 1.0),
        "overload_window_us": contract.whole("fallUs", 1_000_000),
    }


def _proxy_settings(raw: dict[str, object]) -> ProxySettings:
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


def _check_unread_keys(raw: dict[str, object]) -> None:
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
