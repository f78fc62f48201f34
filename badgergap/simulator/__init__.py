"""Runs balancers on the simulator's text protocol: codec, settings, and a program on standard streams."""
