"""Ranking of endpoints for a proxy or a key: weighted rendezvous hashing and zone locality."""

from __future__ import annotations

import math

HASH_FACTOR = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio: spreads consecutive numbers
HASH_MASK = 2**64 - 1
CROSS_ZONE_PENALTY = 80.0  # how strongly the price of crossing zones lowers an endpoint's weight


def rendezvous_rank(key: int, endpoint_id: int, weight: float) -> float:
    """Return the rank of an endpoint for a key; the endpoint with the lowest rank is the key's home.

    All proxies compute the same ranks without communication, and adding or removing an endpoint moves only
    the keys that rank it first. A higher weight makes a low rank more likely.
    """
    mixed = (key ^ (endpoint_id * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight


def locality_factor(is_local: bool, cross_zone_price: float) -> float:
    """Return the weight factor of an endpoint: 1 in the proxy's zone, lower in others by the price."""
    return 1.0 / (1.0 + CROSS_ZONE_PENALTY * cross_zone_price * (not is_local))
