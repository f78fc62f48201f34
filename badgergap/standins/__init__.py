"""Stand-ins for what a gateway meets: boxes, registries, clients, with faults on command. Loopback only.

Shared by tests, benchmarks and the demo. `scripted` holds parties that do just what a test says, byte by
byte; `box`, `registry` and `load` hold parties that work by themselves. The gateway never imports any of it.
"""
