"""What the proxy reads of the settings: unusable values, and changes that need a restart."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.proxy.lifecycle.config import Config, Names, needs_restart
from badgergap.proxy.lifecycle.proxy_settings import ProxySettings, Tenant
from tests.helpers import SETTINGS

CONFIG = Config("a", None, None, 1, 64, SETTINGS, Names((), (), (), ()), {}, None)


@pytest.mark.parametrize("bad", [{"connect_timeout_us": "soon"}, {"max_open_requests": -1}])
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(ProxySettings(), **bad)  # type: ignore[arg-type]


def test_a_share_above_the_whole_is_rejected() -> None:
    with pytest.raises(ValueError, match="share is above 1"):
        Tenant(1.0, 1.5)


def test_a_change_of_them_is_named_as_one_of_the_settings() -> None:
    idle = replace(CONFIG, proxy_settings=ProxySettings(idle_connection_us=7))
    assert needs_restart(CONFIG, idle) == ["settings"]
    assert needs_restart(CONFIG, replace(idle, seed=2)) == ["seed", "settings"]
    both = replace(idle, settings=replace(SETTINGS, max_attempts=9))
    assert needs_restart(CONFIG, both) == ["settings"]


def test_a_configuration_that_grows_takes_over_how_many_requests_may_be_open() -> None:
    grows = replace(CONFIG, grows=True)
    more = replace(grows, proxy_settings=ProxySettings(max_open_requests=5))
    assert needs_restart(grows, more) == []
    assert needs_restart(CONFIG, replace(more, grows=False)) == ["settings"]
