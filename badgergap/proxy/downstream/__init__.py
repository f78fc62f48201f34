"""Connections from the platform's clients.

`listener.py` accepts connections, `http_connection.py` holds the state and flow control of one connection,
`request_reader.py` reads its requests and `request_validation.py` validates them. `client_connection.py`
responds to the requests in order: an endpoint's response is streamed by `forwarding.py` and
`response_writer.py`, a response of the gateway itself is built by `response.py`.
"""
