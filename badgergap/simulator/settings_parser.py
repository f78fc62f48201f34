"""Parses the JSON settings object of a launch into the settings of the balancer and of the proxy."""

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
    """Parse the balancer settings of a launch; unknown keys are ignored, optional keys have defaults.

    Raises WireError for invalid values, including those of keys that only the proxy or nothing uses.
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
    """Parse the proxy's own settings from the same object. Raises WireError for invalid values."""
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


class SettingsReader:
    """Typed access to one object of the settings; error messages contain the path of the invalid key.

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

    def section(self, key: str) -> SettingsReader:
        """Return a reader for the object under this key; it is empty if the key is missing."""
        return SettingsReader(self.raw.get(key, {}), self.name(key))

    def items(self, key: str) -> list[object]:
        """Return the list under this key, or an empty list if the key is missing."""
        value = self.raw.get(key, [])
        if not isinstance(value, list):
            raise WireError(f"{self.name(key)} is not a list")
        return value

    def sections(self, key: str) -> list[SettingsReader]:
        """Return a reader for each object of the list under this key."""
        return [SettingsReader(item, f"{self.name(key)}[{n}]") for n, item in enumerate(self.items(key))]

    def number(self, key: str, default: float) -> float:
        """Return a finite number of at least 0, in the unit of the key."""
        value = self.raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise WireError(f"{self.name(key)} is not a finite number")
        if value < 0:
            raise WireError(f"{self.name(key)} is below 0")
        return float(value)

    def integer(self, key: str, default: int) -> int:
        """Return a number of at least 0, truncated to an integer."""
        return int(self.number(key, default))

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean; integers other than 0 are true."""
        value = self.raw.get(key, default)
        if not isinstance(value, bool | int):
            raise WireError(f"{self.name(key)} is not true or false")
        return bool(value)

    def choice(self, key: str, default: str, known: Mapping[str, Value]) -> Value:
        """Return the value that `known` has for the string under this key."""
        value = self.raw.get(key, default)
        if not isinstance(value, str) or value not in known:
            raise WireError(f"{self.name(key)} '{value}' is unknown")
        return known[value]


def _settings(raw: dict[str, object]) -> Settings:
    """Read the balancer settings. The error names the first invalid key in the order below."""
    root = SettingsReader(raw)
    caps, contract, goal, prices = (root.section(k) for k in ("caps", "contract", "objectiveMix", "prices"))
    family = root.section("familyInfo")
    advice = caps.flag("retryAfter")
    return Settings(
        classes=tuple(_request_class(request_class) for request_class in root.sections("lanes")),
        goal=_goal(goal),
        prices=Prices(**{field: prices.number(key, 0.0) for key, field in PRICES.items()}),
        weight_by_work=root.choice("worthBy", "request", WEIGHTED_BY_WORK),
        proxy_count=root.integer("balancers", 1),
        proxy_index=root.integer("index", 0),
        zone=root.integer("zone", 0),
        clients_mark_retries=root.section("clients").flag("marksRetry"),
        max_attempts=caps.integer("maxAttempts", 3),
        may_cancel=caps.flag("mayCancel"),
        hedging_allowed=caps.flag("secondCopies"),
        weights_follow_load=root.raw.get("weights") == "live",
        sticky_keys=family.flag("warmKeys"),
        endpoint_list_is_pushed=root.choice("membershipMode", "pushed", LIST_IS_PUSHED),
        max_poll_interval_us=contract.integer("mustAskInUs", 10_000_000),
        max_retry_after_us=caps.integer("maxRetryAfterUs", 1_000_000) if advice else 0,
        **_capacity_limits(contract),
        rejected_may_have_run=contract.flag("fullUnproven"),
        ordered_key_quiet_us=contract.integer("keyQuietUs", 0),
    )


def _goal(goal: SettingsReader) -> Goal:
    return Goal(
        whole=goal.number("whole", 1.0),
        worst_window=goal.number("worstWindow", 0.0),
        worst_class=goal.number("worstClass", 0.0),
        worst_tenant=goal.number("worstTenant", 0.0),
    )


class _CapacityLimits(TypedDict):
    """The settings that limit the load of a warming endpoint."""

    cold_capacity: float
    warm_up_us: int
    overload_multiple: float
    overload_window_us: int


def _capacity_limits(contract: SettingsReader) -> _CapacityLimits:
    return {
        "cold_capacity": contract.number("startCapacity", 1.0),
        "warm_up_us": contract.integer("warmAfterUs", 0),
        "overload_multiple": contract.number("tipMultiple", 1.0),
        "overload_window_us": contract.integer("fallUs", 1_000_000),
    }


def _proxy_settings(raw: dict[str, object]) -> ProxySettings:
    root = SettingsReader(raw)
    caps, contract, report = root.section("caps"), root.section("contract"), root.section("report")
    return ProxySettings(
        tenants=tuple(
            Tenant(tenant.number("allowancePerS", 0.0), tenant.number("fraction", 0.0))
            for tenant in root.sections("tenants")
        ),
        reports=Reports(
            report.choice("how", "silent", REPORT_MODES), tuple(map(str, report.items("fields")))
        ),
        may_probe=caps.flag("probes"),
        may_message=caps.flag("peers"),
        connect_timeout_us=caps.integer("connectTimeoutUs", 0),
        idle_connection_us=caps.integer("keepaliveUs", 0),
        max_open_requests=caps.integer("mostHeld", 0),
        drain_grace_us=contract.integer("stopSendingWithinUs", 0),
    )


def _check_unread_keys(raw: dict[str, object]) -> None:
    """Raise ValueError for an invalid value of an unused key, so that mistakes are found at launch."""
    root = SettingsReader(raw)
    caps = root.section("caps")
    for key in ("zones", "shapes", "tiers"):
        root.items(key)
    root.integer("stage", 0)
    root.section("familyInfo").flag("passesDeadline")
    root.section("contract").integer("answerSlackUs", 0)
    caps.number("cpuUsPerS", 0.0)
    caps.number("cpuUsPerRequest", 0.0)
    if caps.integer("multiplex", 1) < 1:
        raise ValueError("caps.multiplex is below 1")
    if root.number("overShareWorth", 1.0) > 1:
        raise ValueError("overShareWorth is above 1")


def _request_class(request_class: SettingsReader) -> RequestClass:
    if "giveUpUs" not in request_class.raw:
        raise WireError(f"{request_class.name('giveUpUs')} is missing")
    timeout_us = request_class.integer("giveUpUs", 0)
    return RequestClass(
        objective_us=request_class.integer("aimUs", timeout_us),
        client_timeout_us=timeout_us,
        priority_weight=request_class.number("value", 1.0),
        late_weight=request_class.number("lateValue", 0.0),
        idempotency=request_class.choice("effect", "single_shot", EFFECTS),
        deduplication_scope=request_class.choice("group", "all", SCOPES),
        deduplication_window_us=request_class.integer("windowUs", 0),
        in_order=request_class.flag("sequential"),
        streamed=request_class.flag("streamed"),
        objective_stretch=request_class.number("aimStretch", 0.0),
    )
