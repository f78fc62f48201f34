"""TLS as an operator file sets it: what clients are shown, and whom boxes are believed by."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import TYPE_CHECKING

from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.proxy import Proxy
from badgergap.site import Site

if TYPE_CHECKING:
    import ssl

    from badgergap.tls.store import Certificates, Loaded, Setting

log = logging.getLogger(__name__)


class ClientTls:
    """The certificates of the file. `check` reads them for a reload, `commit` lets handshakes have them."""

    def __init__(self, site: Site, folder: Path) -> None:
        """Raises ConfigError."""
        store = _store()
        self.folder = folder
        self.certificates: Certificates = store.Certificates(self.setting(site))
        self.next: tuple[Setting, tuple[Loaded, ...]] | None = None

    def setting(self, site: Site) -> Setting:
        store = _store()
        if site.https is None:
            raise ConfigError("[https] has gone: that needs a restart")
        ca = site.https.client_ca
        setting: Setting = store.Setting(
            pairs=tuple(
                store.Pair(self.folder / c.certificate, self.folder / c.key) for c in site.certificates
            ),
            least=site.https.least_version,
            client_ca=self.folder / ca if ca is not None else None,
        )
        return setting

    def check(self, site: Site) -> None:
        """Raises ConfigError, and then the old ones stay. Called off the loop."""
        setting = self.setting(site)
        self.next = setting, _store().load(setting)

    def commit(self) -> None:
        if self.next is not None:
            self.certificates.take(*self.next)
            self.next = None
        for line in self.certificates.problems():
            log.warning("%s", line)


class BoxTls:
    """A room of one pool: its boxes speak TLS."""

    def __init__(self, read: Callable[[], tuple[Path, str | None]]) -> None:
        """`read` gives the authority's file and the name that certificates must have. Raises ConfigError."""
        self.read = read
        self.context: ssl.SSLContext = _store().box_context(read()[0])
        self.authority = read()[0].read_bytes()
        self.proxy: Proxy | None = None

    def join(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self._set()

    def _set(self) -> None:
        assert self.proxy is not None
        self.proxy.upstream.tls = self.context
        self.proxy.upstream.tls_name = self.read()[1]
        self.proxy.upstream.authority = self.authority

    async def start(self) -> None:
        """Connections are made as they are needed."""

    def reload(self, config: Config) -> None:
        """The authority anew, for connections to come."""
        try:
            self.context = _store().box_context(self.read()[0])
            self.authority = self.read()[0].read_bytes()
        except (ConfigError, OSError) as error:
            log.error("boxes are believed by the old authority: %s", error)
        self._set()

    async def close(self) -> None:
        """Connections are the pool's."""


def _store() -> ModuleType:
    """The package that does it, with its library. Raises ConfigError."""
    try:
        from badgergap.tls import store
    except ModuleNotFoundError as error:
        why = f"{error.name} is missing: pip install 'badgergap[tls]'"
        raise ConfigError(f"TLS needs its extra, {why}") from None
    return store
