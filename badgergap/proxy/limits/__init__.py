"""Limits on descriptors, memory and connections, and the eviction of connections at them."""
