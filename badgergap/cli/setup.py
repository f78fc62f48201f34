"""The operator file, alone or beside the platform's configuration, as it was read last."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from badgergap.admin import default_socket
from badgergap.proxy.lifecycle.config import Config, ConfigError, load_config, needs_restart, reload_config
from badgergap.site import DrainStore, Site, combine, to_config
from badgergap.site.convert import carry_names
from badgergap.site.read import SHARED, Tables, parse_site, read_tables, read_text, shared

log = logging.getLogger(__name__)


class Setup:
    """Both files as read last, and what a group has agreed on in place of some tables of the operator file's.

    A read that fails changes nothing.
    """

    def __init__(self, path: Path, environ: Mapping[str, str]) -> None:
        self.path = path
        self.environ = environ
        self.text = read_text(path)
        self.agreed: Tables | None = None
        self.site = parse_site(self.text, str(path))
        self.overruled: list[str] = []
        self.checks: list[Callable[[Site], None]] = []  # of what files the operator file names; ConfigError
        self.config = self.newest = self._config(self.site, None)

    def _config(self, site: Site, old: Config | None) -> Config:
        if not self.environ.get("ROUTER_CONFIG"):
            config = to_config(site, secrets.randbits(64))
            return config if old is None else carry_names(config, old)
        platform = load_config(self.environ) if old is None else reload_config(self.environ, old)
        config, self.overruled = combine(site, platform)
        return config

    def read_again(self, old: Config) -> Config:
        """Raises ConfigError, and then the old ones stay. Called off the loop."""
        text = read_text(self.path)
        config = self._take(text, self.agreed, old)
        differ = self.differs(text)
        if differ:
            log.warning(
                "%s: %s not as the group has agreed, which counts; `badgergap settings publish` proposes it",
                self.path,
                ", ".join(differ) + (" are" if len(differ) > 1 else " is"),
            )
        return config

    def adopt(self, agreed: Tables, old: Config) -> Config:
        """What the group has agreed on, with the rest of the file as it was read last. As `read_again`."""
        return self._take(self.text, agreed, old)

    def examine(self, agreed: Tables) -> None:
        """Whether this gateway could act on it from here on. Raises ConfigError; nothing is taken over."""
        site = parse_site(self.text, str(self.path), agreed)
        config = self._config(site, self.newest)
        fixed = needs_restart(self.config, config)
        if fixed:
            raise ConfigError(f"it changes what needs a restart: {', '.join(fixed)}")
        for check in self.checks:
            check(site)

    def differs(self, text: str) -> list[str]:
        """The tables of a file's text that are not as agreed."""
        if self.agreed is None:
            return []
        own = shared(read_tables(text, str(self.path)))
        return [key for key in SHARED if own.get(key) != self.agreed.get(key) and key in own]

    def own_tables(self) -> Tables:
        """Of the file as read last, the tables that a group agrees on."""
        return shared(read_tables(self.text, str(self.path)))

    def _take(self, text: str, agreed: Tables | None, old: Config) -> Config:
        site = parse_site(text, str(self.path), agreed)
        config = self._config(site, old)
        for check in self.checks:
            check(site)
        self.text, self.agreed, self.site, self.newest = text, agreed, site, config
        return config

    @property
    def socket(self) -> Path:
        admin = self.site.site.admin
        return default_socket(self.environ) if admin is None else self.path.parent / admin

    @property
    def store(self) -> DrainStore | None:
        state = self.site.site.state
        return None if state is None else DrainStore(self.path.parent / state)
