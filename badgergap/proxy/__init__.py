"""The proxy process: sockets around one balancer. It carries out what the balancer decides, nothing more."""
