"""The life of a gateway process: configuration, start, signals, drains, graceful shutdown."""
