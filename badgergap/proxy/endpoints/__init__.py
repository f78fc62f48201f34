"""Which endpoints there are: service discovery, the registry, and drains by hand."""
