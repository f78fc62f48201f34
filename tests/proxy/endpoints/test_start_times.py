"""Start times of endpoints across steps of the wall clock."""

from __future__ import annotations

import asyncio

import pytest

from badgergap.proxy.endpoints.sources import PLATFORM, endpoint_id_of
from badgergap.proxy.endpoints.start_times import wall_clock_us
from tests.proxy.test_endings import until
from tests.sockets import chunk, entry, gateway, news, run, settings

WARM_UP_US = 60_000_000


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
