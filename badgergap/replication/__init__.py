"""What a gateway holds for others, copied: registers of keys by quorums, and effects that run once."""
