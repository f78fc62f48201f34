"""How many proxies have an endpoint in their subset, where zones are filled unevenly.

A subset holds the endpoints of the lowest ranks. Ranks are exponentially distributed (`ranking`), with the
rate 1 for an endpoint of the proxy's own zone and `remote_factor` for others. So the proxies of a zone with
few endpoints nearly all have these in their subsets, however many endpoints there are elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

BISECTION_STEPS = 30


@dataclass(slots=True, frozen=True)
class SubsetShare:
    """The share of proxies that have an endpoint in their subset."""

    mean: float  # of all proxies, if they are spread over the zones as the endpoints are
    local: float  # of the proxies in the endpoint's zone; in other zones it is smaller

    @classmethod
    def of(cls, size: float, local_count: int, remote_count: int, remote_factor: float) -> SubsetShare:
        """Return the shares for subsets of `size` endpoints.

        `local_count`, `remote_count`: endpoints in the endpoint's zone and elsewhere.
        """
        count = local_count + remote_count
        mean = min(1.0, size / count) if count else 1.0
        if mean == 1.0 or remote_count == 0 or remote_factor == 1.0:
            return cls(mean, mean)
        return cls(mean, _local_share(size, local_count, remote_count, remote_factor))


def _local_share(size: float, local_count: int, remote_count: int, remote_factor: float) -> float:
    """Return the probability that the rank of a local endpoint is among the `size` lowest."""
    low, high = 0.0, 1.0  # of the probability that its rank is above these
    for _ in range(BISECTION_STEPS):
        above = (low + high) / 2.0
        expected_size = local_count * (1.0 - above) + remote_count * (1.0 - above**remote_factor)
        if expected_size > size:
            low = above
        else:
            high = above
    return 1.0 - low
