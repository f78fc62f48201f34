"""Replicated idempotency records, so that a keyed request runs once, and copies of learned state."""
