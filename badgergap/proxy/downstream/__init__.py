"""Client connections: parsing and checking requests, writing answers."""
