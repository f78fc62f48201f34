"""Balancing decisions: endpoint selection, retries, load shedding and rejection. Performs no I/O."""
