"""Staged rollouts: a group applies new settings in stages, and rolls them back if service gets worse."""
