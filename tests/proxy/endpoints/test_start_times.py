"""Start times of endpoints across steps of the wall clock."""

from __future__ import annotations

import asyncio
import json

import pytest

from badgergap.balancing.interface import EndpointListKind
from badgergap.hot_restart.state_transfer import (
    GatewayIdentity,
    TransferredState,
    export_endpoint_list,
    read_state,
    write_state,
)
from badgergap.proxy.endpoints.endpoint_list import parse_list
from badgergap.proxy.endpoints.sources import PLATFORM, endpoint_id_of
from badgergap.proxy.endpoints.start_times import US_PER_S, StartTimes, wall_clock_us
from badgergap.proxy.lifecycle.config import Names
from tests.proxy.test_endings import until
from tests.sockets import chunk, entry, gateway, news, run, settings

WARM_UP_US = 60_000_000
IDENTITY = GatewayIdentity("n0", ("127.0.0.1", 3000))


# Guards against start times that are not converted after a step of the wall clock: an endpoint that had just
# started counted as warm after a step back, and was overloaded; after a step forward as cold for an hour.
@pytest.mark.parametrize("step_s", [-3600, -5, 0, 5, 3600])
def test_endpoint_started_after_a_wall_clock_step_is_cold_and_warms_up(step_s: int) -> None:
    async def test() -> None:
        contract = {"mustAskInUs": 100_000, "warmAfterUs": WARM_UP_US, "startCapacity": 0.2}
        async with gateway(settings={**settings(), "contract": contract}) as it:
            _, watch = await it.registry.watches.get()
            balancer, now_us = it.proxy.balancer, it.proxy.clock.now_us

            def stepped_us() -> int:
                return wall_clock_us() + step_s * 1_000_000

            it.proxy.directory.start_times[PLATFORM]._wall_us = stepped_us
            since_ms = stepped_us() // 1000
            for index in (8, 9):  # listed twice: the second time is not a restart
                watch.write(chunk(news(entry("h0", it.host.address, since_ms=since_ms), index=index)))
                await until(lambda: balancer.endpoints[endpoint_id_of("h0")].start_us > 0)
                endpoint = balancer.endpoints[endpoint_id_of("h0")]
                assert abs(now_us() - endpoint.start_us) < 2_000_000
                await asyncio.sleep(0.05)
                assert balancer.endpoints[endpoint_id_of("h0")] is endpoint

    run(test())


# Guards against start times that a hot restart converts twice, or anew: after a step forward of the wall
# clock a cold endpoint counted as warm at the new process.
@pytest.mark.parametrize("step_s", [-3600, 0, 3600])
@pytest.mark.parametrize("listed", ["before the step", "after the step"])
def test_start_times_stay_the_same_over_hot_restarts(listed: str, step_s: int) -> None:
    now_s, step_at_s, names = 1_000_000, 1_000_000, Names((), (), (), ())
    started_s = step_at_s - 10 if listed == "before the step" else step_at_s + 10
    expected_us = started_s * US_PER_S
    listed_s = started_s + (step_s if listed == "after the step" else 0)
    raw = {"snapshot": False, "endpoints": [entry("h0", "127.0.0.1:80", since_ms=listed_s * 1000)]}

    def now_us() -> int:
        return now_s * US_PER_S

    def wall_us() -> int:
        return (now_s + (step_s if now_s >= step_at_s else 0)) * US_PER_S

    now_s = started_s + 1
    serving = StartTimes(now_us, wall_us)
    update = serving.convert(parse_list(raw, names))
    now_s = step_at_s + 20
    for _ in range(2):  # twice in a row
        state = TransferredState(
            0,
            export_endpoint_list(update.entries, names, 7, serving.export()),
            start_times=serving.export(),
        )
        received = read_state(json.loads(json.dumps(write_state(state, IDENTITY))), IDENTITY)
        assert not received.missing
        serving = StartTimes(now_us, wall_us)
        serving.restore(received.start_times)
        update = serving.convert(parse_list(received.endpoint_list, names, EndpointListKind.DISK))
        assert [each.listed.started_us for each in update.entries] == [expected_us]
        again = serving.convert(parse_list(raw, names))  # discovery lists it again
        assert [each.listed.started_us for each in again.entries] == [expected_us]
