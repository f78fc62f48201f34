"""Staged rollouts: settings reach a group stage by stage, and are rolled back when clients fare worse."""
