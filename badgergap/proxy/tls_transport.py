"""TLS over a `TcpTransport`, so that TLS connections also survive a shortage of buffers or memory.

Uses uvloop's TLS protocol directly, since uvloop's connection functions would run it over uvloop's own TCP
transport.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import Any

from uvloop import loop as uvloop_loop

from badgergap.proxy.tcp_transport import TcpTransport, connect_tcp

# Not part of uvloop's documented API; requirements.txt pins the release.
_TlsProtocol: Any = uvloop_loop.SSLProtocol  # type: ignore[attr-defined]


async def accept_tls(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    protocol: asyncio.BaseProtocol,
    context: ssl.SSLContext,
    *,
    handshake_s: float,
    shutdown_s: float,
) -> None:
    """Perform a TLS handshake as the server, then pass the connection to `protocol`. Raises OSError.

    `handshake_s`: timeout of the handshake. `shutdown_s`: seconds to wait for the client's TLS close_notify.
    """
    handshake: asyncio.Future[None] = loop.create_future()
    tls = _TlsProtocol(
        loop,
        protocol,
        context,
        handshake,
        server_side=True,
        ssl_handshake_timeout=handshake_s,
        ssl_shutdown_timeout=shutdown_s,
    )
    transport = TcpTransport(loop, sock, tls)
    transport.start()
    try:
        await handshake
    except BaseException:  # including CancelledError
        transport.abort()
        raise


async def connect_tls(
    loop: asyncio.AbstractEventLoop,
    protocol: asyncio.BaseProtocol,
    host: str,
    port: int,
    context: ssl.SSLContext,
    server_name: str | None,
) -> None:
    """Connect `protocol` over TLS. Raises OSError.

    The server's certificate must be valid for `server_name`, or for `host` if that is None or empty.
    """
    handshake: asyncio.Future[None] = loop.create_future()
    tls = _TlsProtocol(loop, protocol, context, handshake, server_hostname=server_name or host)
    transport = await connect_tcp(loop, tls, host, port)
    try:
        await handshake
    except BaseException:  # including CancelledError
        transport.abort()
        raise
