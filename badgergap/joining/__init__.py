"""Joining identical reads that are in flight at the same time. docs/design/joining.md says how and why."""
