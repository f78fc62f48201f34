"""The command `badgergap`: puts the rooms together."""
