"""HTTP/3 for clients, over QUIC (RFC 9000, RFC 9114). Needs the extra `http3`; imported where it is on."""
