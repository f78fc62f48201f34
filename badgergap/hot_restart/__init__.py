"""Hot restart: a new process takes over listeners, clients and learned state from one on the same machine."""
