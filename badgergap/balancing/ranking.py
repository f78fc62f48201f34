"""The order in which a proxy or a key prefers endpoints: weighted rendezvous hashing and locality."""

from __future__ import annotations

import math

HASH_FACTOR = 0x9E3779B97F4A7C15  # golden ratio in 64 bits: spreads close numbers apart
HASH_MASK = 2**64 - 1
CROSS_ZONE_AVERSION = 80.0  # how hard the price of crossing zones lowers an endpoint's weight


def rendezvous_rank(key: int, endpoint_id: int, weight: float) -> float:
    """Return the rank of an endpoint for a key: lowest at the endpoint that the key belongs to.

    All proxies rank alike without any message, and an endpoint that comes or goes moves only the keys that
    rank it first. A higher weight makes a low rank more likely.
    """
    mixed = (key ^ (endpoint_id * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight


def locality_factor(is_local: bool, cross_zone_price: float) -> float:
    """Return the factor on an endpoint's weight: 1 in the proxy's own zone, less in others by the price."""
    return 1.0 / (1.0 + CROSS_ZONE_AVERSION * cross_zone_price * (not is_local))
