"""HTTP/3 as an operator file sets it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgergap.cli.setup import Setup
from badgergap.cli.tls import ClientTls
from badgergap.ordinary.turn import Carry
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.proxy.upstream.stream_exchange import carry
from badgergap.web.room import WebRoom

if TYPE_CHECKING:
    from badgergap.h3.library import Shown
    from badgergap.h3.room import Http3Plan, Http3Room
    from badgergap.ordinary.ways import Ways
    from badgergap.tls.store import Certificates, Loaded


def _missing(what: str, error: ModuleNotFoundError) -> ConfigError:
    why = f"{error.name} is missing: pip install 'badgergap[http3]'"
    return ConfigError(f"{what} needs its extra, {why}")


def boxes_over_http3() -> Carry:
    """What carries requests to boxes, where some of them may speak HTTP/3. Raises ConfigError."""
    try:
        from badgergap.h3.back import Carrier3
    except ModuleNotFoundError as error:
        raise _missing("fleet.http3", error) from None
    return Carrier3(carry)


def http3_room(setup: Setup, web: WebRoom, tls: ClientTls) -> Http3Room:
    """Raises ConfigError."""
    try:
        from badgergap.h3.room import Http3Plan, Http3Room
    except ModuleNotFoundError as error:
        raise _missing("[http3]", error) from None

    def read() -> Http3Plan | None:
        table = setup.site.http3
        if table is None:
            return None
        return Http3Plan(table.listen.pair, table.connections, table.streams, table.early_data == "safe")

    def ways() -> Ways:
        assert web.ways is not None
        return web.ways

    return Http3Room(read, ways, shown_by(tls.certificates))


def shown_by(certificates: Certificates) -> Callable[[str | None], Shown]:
    """What handshakes show, by the certificates read last. Raises ConfigError for a key of no use here."""
    from badgergap.h3.library import Shown

    parsed: tuple[tuple[Loaded, ...], list[Shown]] = ((), [])

    def choose(asked: str | None) -> Shown:
        nonlocal parsed
        loaded = certificates.loaded
        if parsed[0] is not loaded:
            parsed = loaded, [Shown.read(each.chain_pem, each.key_pem) for each in loaded]
        return parsed[1][certificates.names.of(asked)]

    try:
        choose(None)
    except ValueError as error:
        raise ConfigError(f"[http3]: a certificate or its key cannot be used: {error}") from None
    return choose
