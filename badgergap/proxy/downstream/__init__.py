"""Connections from the platform's clients.

`listener.py` accepts them, `http_connection.py` holds the state and flow control of one, `request_reader.py`
reads its requests, `request_validation.py` checks them, and `client_connection.py` answers each in its turn:
by `forwarding.py` and `response_writer.py` as an endpoint's response comes, or by `response.py` at once.
"""
