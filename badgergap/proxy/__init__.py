"""The proxy process: the sockets around one balancer. It executes the balancer's decisions."""
