"""The real gateway: sockets round one Balancer. It carries out what the balancer decides and adds nothing."""
