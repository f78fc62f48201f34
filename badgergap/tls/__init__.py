"""TLS: certificates by name for clients, authorities for boxes. Imported only where the file asks for it."""
