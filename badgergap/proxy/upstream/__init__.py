"""Connections to endpoints and the exchanges on them."""
