"""Faults of the system under a process: calls that fail on command (`injector`, `inject.c`)."""
