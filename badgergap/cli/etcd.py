"""Boxes from an etcd, as an operator file sets it."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from functools import partial
from pathlib import Path

from badgergap.proxy.lifecycle.component import Component
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site.schema import EtcdTable


def etcd_room(table: EtcdTable, folder: Path, environ: Mapping[str, str]) -> Component:
    """Raises ConfigError for certificates or a password that cannot be read. Imports the libraries."""
    try:
        from badgergap.etcd import EtcdRoom, Login, Options, Times
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
