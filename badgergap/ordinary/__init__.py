"""What ordinary HTTP means, whatever it comes by: heads, the plan of routes, a request's way and its turn."""
