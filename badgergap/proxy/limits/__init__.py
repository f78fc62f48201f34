"""Bounds on descriptors, memory and connections, and who is evicted at them."""
