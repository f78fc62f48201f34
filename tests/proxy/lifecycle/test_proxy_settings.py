"""The settings of the proxy: invalid values, and changes that need a restart."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.proxy.lifecycle.config import Config, Names, needs_restart
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings, Tenant
from tests.helpers import SETTINGS

CONFIG = Config("a", None, None, 1, 64, SETTINGS, Names((), (), (), ()), {}, None)


@pytest.mark.parametrize("invalid", [{"connect_timeout_us": "soon"}, {"max_open_requests": -1}])
def test_invalid_settings_are_rejected(invalid: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        replace(ProxySettings(), **invalid)  # type: ignore[arg-type]


def test_a_share_above_1_is_rejected() -> None:
    with pytest.raises(ValueError, match="share is above 1"):
        Tenant(1.0, 1.5)


def test_a_change_of_proxy_settings_is_reported_as_settings() -> None:
    idle = replace(CONFIG, proxy_settings=ProxySettings(idle_connection_us=7))
    assert needs_restart(CONFIG, idle) == ["settings"]
    assert needs_restart(CONFIG, replace(idle, seed=2)) == ["seed", "settings"]
    both = replace(idle, settings=replace(SETTINGS, max_attempts=9))
    assert needs_restart(CONFIG, both) == ["settings"]


def test_a_configuration_that_grows_applies_a_new_limit_on_open_requests() -> None:
    growing = replace(CONFIG, grows=True)
    changed = replace(growing, proxy_settings=ProxySettings(max_open_requests=5))
    assert needs_restart(growing, changed) == []
    assert needs_restart(CONFIG, replace(changed, grows=False)) == ["settings"]
