"""`badgergap serve` and `check`: an operator file, alone or beside the platform's configuration."""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import signal
import sys
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

from rosedeal.admin import AdminRoom, Figures, default_socket
from rosedeal.gateway.config import Config, ConfigError, load_config, reload_config
from rosedeal.gateway.proxy import Proxy
from rosedeal.gateway.run import Room, log_to_stderr, run
from rosedeal.site import DrainStore, Site, SiteRoom, combine, read_site, to_config
from rosedeal.site.convert import carry_names
from rosedeal.site.schema import EtcdTable
from rosedeal.site.web import never

log = logging.getLogger(__name__)


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


def serve(path: Path, environ: Mapping[str, str], until_stdin_ends: bool = False) -> int:
    """Run until told to end; returns the exit code. Raises ConfigError for files that cannot be used."""
    log_to_stderr()
    setup = Setup(path, environ)
    if setup.overruled:
        log.info("the platform's configuration overrules %s of %s", ", ".join(setup.overruled), path)
    config, store = setup.config, setup.store
    aims = (klass.aim_us for klass in config.settings.classes)
    figures = Figures(tuple(zip(config.names.classes, aims, strict=True)))
    admin = AdminRoom(setup.socket, config, figures, store)
    rooms: list[Room] = [SiteRoom(lambda: setup.site, store), admin]
    if setup.site.etcd is not None:
        rooms.insert(1, etcd_room(setup.site.etcd, path.parent, environ))
    if setup.site.http is not None:
        from rosedeal.cli.web import web_room

        web, tls = web_room(setup, environ, figures)
        rooms.append(web)
        admin.further = web.proxies
        if tls is not None:
            admin.notices.append(tls.certificates.problems)
    if setup.site.fleet.ca is not None:
        rooms.append(fleet_tls(setup))
    if until_stdin_ends:
        rooms.append(Lifeline())
    return run(config, setup.read_again, rooms, figures)


def fleet_tls(setup: Setup) -> Room:
    """TLS to the main pool's boxes. Raises ConfigError."""
    from rosedeal.cli.tls import BoxTls

    def read() -> tuple[Path, str | None]:
        fleet = setup.site.fleet
        if fleet.ca is None:
            raise ConfigError("fleet.ca has gone: that needs a restart")
        return setup.path.parent / fleet.ca, fleet.certificate_name

    return BoxTls(read)


def check(path: Path, environ: Mapping[str, str]) -> str:
    """One line on a file that can be used. Raises ConfigError."""
    setup = Setup(path, environ)
    site, config = setup.site, setup.config
    if site.etcd is not None:
        etcd_room(site.etcd, path.parent, environ)
    if site.http is not None:
        from rosedeal.cli.web import web_room

        _, tls = web_room(setup, environ, None)
        notices = tls.certificates.problems() if tls is not None else []
    if site.fleet.ca is not None:
        fleet_tls(setup)
    listens = [config.listen] if config.listen is not None else []
    listens += [site.http.listen.pair] if site.http is not None else []
    listens += [site.https.listen.pair] if site.https is not None else []
    where = " and ".join(f"{host}:{port}" for host, port in listens)
    words = [
        f"{path}: good. {config.name} would listen on {where}",
        f"{len(config.names.classes)} classes",
        f"{len(site.boxes)} boxes",
        f"admin socket {setup.socket}",
        f"etcd {', '.join(site.etcd.endpoints)} under {site.etcd.prefix}"
        if site.etcd is not None
        else "no etcd",
        "drains by hand are kept" if setup.store is not None else "drains by hand end with the process",
    ]
    if site.http is not None:
        words.insert(1, f"{len(site.routes)} routes, {len(site.pools) + 1} pools")
        words += never(site) + notices
    if setup.overruled:
        words.append(f"the platform's configuration overrules {', '.join(setup.overruled)}")
    return "; ".join(words)


def etcd_room(table: EtcdTable, folder: Path, environ: Mapping[str, str]) -> Room:
    """Raises ConfigError for certificates or a password that cannot be read. Imports the libraries."""
    try:
        from rosedeal.etcd import EtcdRoom, Login, Options, Times
    except ModuleNotFoundError as error:
        why = f"{error.name} is missing: pip install 'badgergap[etcd]'"
        raise ConfigError(f"[etcd] needs its extra, {why}") from None
    import ssl

    tls: ssl.SSLContext | None = None
    if table.ca is not None:
        try:
            tls = ssl.create_default_context(cafile=str(folder / table.ca))
            if table.certificate is not None and table.key is not None:
                tls.load_cert_chain(folder / table.certificate, folder / table.key)
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"[etcd] its certificates or key cannot be used: {error}") from None
        tls.set_alpn_protocols(["h2"])
    login: Login | None = None
    if table.user is not None:
        read = partial(_password, table, folder, environ)
        read()  # so that a mistake shows at the start
        login = Login(table.user, read)
    return EtcdRoom(
        Options(
            endpoints=tuple(endpoint.pair for endpoint in table.endpoints),
            prefix=table.prefix.encode(),
            seed=secrets.randbits(64),
            times=Times(
                call_us=int(table.call_within),
                ask_us=int(table.silent_after) // 3,
                silence_us=int(table.silent_after),
            ),
            tls=tls,
            login=login,
        )
    )


def _password(table: EtcdTable, folder: Path, environ: Mapping[str, str]) -> str:
    """Read anew at each login, and shown nowhere. Raises ConfigError."""
    if table.password_env is not None:
        if table.password_env not in environ:
            raise ConfigError(f"[etcd] password_env: the environment has no {table.password_env}")
        return environ[table.password_env]
    assert table.password_file is not None
    try:
        return (folder / table.password_file).read_text(encoding="utf-8").rstrip("\r\n")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"[etcd] password_file: {table.password_file} cannot be read: {error}") from None


class Lifeline:
    """Ends the process as SIGTERM would once its standard input ends: with whoever started it."""

    def join(self, proxy: Proxy) -> None:
        """Nothing to prepare."""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(sys.stdin.fileno(), self._heard)

    def _heard(self) -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            os.kill(os.getpid(), signal.SIGTERM)

    def reload(self, config: Config) -> None:
        """Nothing to read again."""

    async def close(self) -> None:
        asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
