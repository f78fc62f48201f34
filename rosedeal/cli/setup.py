"""The operator file, alone or beside the platform's configuration, as it was read last."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from rosedeal.admin import default_socket
from rosedeal.gateway.config import Config, load_config, reload_config
from rosedeal.site import DrainStore, Site, combine, read_site, to_config
from rosedeal.site.convert import carry_names


class Setup:
    """Both files as read last. A read that fails changes nothing."""

    def __init__(self, path: Path, environ: Mapping[str, str]) -> None:
        self.path = path
        self.environ = environ
        self.site = read_site(path)
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
        site = read_site(self.path)
        config = self._config(site, old)
        for check in self.checks:
            check(site)
        self.site, self.newest = site, config
        return config

    @property
    def socket(self) -> Path:
        admin = self.site.site.admin
        return default_socket(self.environ) if admin is None else self.path.parent / admin

    @property
    def store(self) -> DrainStore | None:
        state = self.site.site.state
        return None if state is None else DrainStore(self.path.parent / state)
