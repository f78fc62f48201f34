"""Ordinary HTTP/1.1 for clients and boxes: routes, pools, streams both ways, tunnels."""
