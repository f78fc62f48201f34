"""What a group of gateways agrees on, by a Raft log.

Pure state machines: `raft` (the protocol), `replicated_state` (versions), `lease` (who may act), and
`member`, which puts them together. With I/O: `transport` (sockets between members), `service` (the member
with its disk, links and clock in a gateway) and `commands` (what operators ask).
"""
