"""Operator commands, received on the address for operators (`console`)."""
