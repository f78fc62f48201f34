"""TLS over a `TcpTransport`, so that a lack of buffers or memory ends no TLS connection either.

uvloop's own protocol for TLS does the work. Its calls for connections would put it on uvloop's TCP transport.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import Any

from uvloop import loop as uvloop_loop

from badgergap.proxy.tcp_transport import TcpTransport, connect_tcp

# Not among uvloop's documented names; requirements.txt pins its release.
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
    """Shake hands as the server; `protocol` has its connection from then on. Raises OSError.

    `shutdown_s`: seconds for the client's part in the end of TLS.
    """
    shaken: asyncio.Future[None] = loop.create_future()
    tls = _TlsProtocol(
        loop,
        protocol,
        context,
        shaken,
        server_side=True,
        ssl_handshake_timeout=handshake_s,
        ssl_shutdown_timeout=shutdown_s,
    )
    transport = TcpTransport(loop, sock, tls)
    transport.start()
    try:
        await shaken
    except BaseException:  # cancelled among them
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
    """Connect `protocol` over TLS; its certificate must name `server_name`, or `host`. Raises OSError."""
    shaken: asyncio.Future[None] = loop.create_future()
    tls = _TlsProtocol(loop, protocol, context, shaken, server_hostname=server_name or host)
    transport = await connect_tcp(loop, tls, host, port)
    try:
        await shaken
    except BaseException:  # cancelled among them
        transport.abort()
        raise
