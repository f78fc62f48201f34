"""Which address of discovery a process follows that takes over from another one."""

from __future__ import annotations

from dataclasses import replace

import pytest

from badgergap.proxy.lifecycle.config import Address, parse_config
from badgergap.proxy.lifecycle.discovery_origin import DiscoveryOrigin, follow, origin_of
from tests.sockets import configuration

FIRST, SECOND, THIRD = ("10.0.0.1", 1), ("10.0.0.2", 2), ("10.0.0.3", 3)


def text(address: Address) -> str:
    return "{}:{}".format(*address)


MOVED = DiscoveryOrigin(SECOND, text(SECOND), text(FIRST), read_at_ns=50)  # it was started with FIRST


@pytest.mark.parametrize(
    ("filed", "environment", "read_at_ns", "expected"),
    [
        (SECOND, FIRST, 100, SECOND),  # all else the same
        (THIRD, FIRST, 100, THIRD),  # the file has changed again, without SIGHUP
        (FIRST, FIRST, 10, SECOND),  # the file has changed after this process has read it
        (SECOND, THIRD, 100, THIRD),  # the variable is another one
        (THIRD, THIRD, 100, THIRD),
        (FIRST, THIRD, 10, SECOND),  # it is, and the file has changed after this process has read it
        (None, FIRST, 100, SECOND),  # the file names no address: as in a reload, the old one stays
    ],
)
def test_a_process_follows_the_address_of_the_one_before_unless_its_own_is_newer(
    filed: Address | None, environment: Address, read_at_ns: int, expected: Address
) -> None:
    config = replace(
        parse_config(configuration({}, text(environment))),
        filed_discovery=text(filed) if filed is not None else None,
        environment_discovery=text(environment),
        read_at_ns=read_at_ns,
    )
    followed = follow(config, MOVED)
    assert followed.discovery == expected
    assert replace(followed, discovery=None, filed_discovery=None, read_at_ns=0) == replace(
        config, discovery=None, filed_discovery=None, read_at_ns=0
    )
    origin = origin_of(followed)
    assert origin is not None and follow(followed, origin) == followed  # the next process, all else the same


def test_without_a_variable_the_file_is_followed() -> None:
    config = replace(parse_config(configuration({}, text(SECOND)), text(SECOND)), read_at_ns=100)
    first = DiscoveryOrigin(FIRST, text(FIRST), None, read_at_ns=50)
    assert follow(config, first).discovery == SECOND
    assert origin_of(replace(config, discovery=None)) is None
