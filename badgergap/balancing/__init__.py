"""The decisions of the balancer: which endpoint gets a request, what is retried, what is rejected. No I/O."""
