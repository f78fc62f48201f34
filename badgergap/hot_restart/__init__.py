"""One process takes over from another on its machine: listeners, clients, and what it knows."""
