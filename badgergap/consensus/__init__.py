"""Agreement within a group of gateways on settings, drains and endpoint lists, through a Raft log.

Pure state machines: `raft` (the protocol), `replicated_state` (versions), `lease` (the right to act), and
`member`, which combines them. With I/O: `transport` (sockets between members), `service` (connects the member
to disk, links, clock and gateway) and `commands` (operator commands).
"""
