"""One gateway as a process: configuration, start, signals, graceful shutdown."""
