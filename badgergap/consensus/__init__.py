"""What the gateways of a group agree on. Pure: `raft`, `state`, `relation`, `lease`, `member`, `frames`."""
