"""Certificates and authorities from files, read anew at a reload without a word to open connections.

One base context stands for as long as the listener does; whose certificate a handshake gets is decided when
the client's name is known, by the certificates read last. So tickets of before go on being good.
"""

from __future__ import annotations

import ssl
import stat
import time
from dataclasses import dataclass, field
from pathlib import Path

from cryptography import x509

from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.tls.names import Names

WARN_S = 14 * 86_400  # before the end of a certificate from which on it is warned of
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class Pair:
    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class Setting:
    pairs: tuple[Pair, ...]
    least: str = "1.2"
    client_ca: Path | None = None  # clients are asked for a certificate that it signed; None: not asked


@dataclass(frozen=True, slots=True)
class Loaded:
    context: ssl.SSLContext
    names: tuple[str, ...]
    ends_at: float  # Unix time
    chain_pem: bytes = field(default=b"", repr=False)
    key_pem: bytes = field(default=b"", repr=False)


class Certificates:
    """What a listener shows. Raises ConfigError for files that cannot be used; then the old ones stand."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.loaded = load(setting)
        self.names = Names([each.names for each in self.loaded])
        self.base = _context(setting)
        self.base.sni_callback = self._choose

    def take(self, setting: Setting, loaded: tuple[Loaded, ...]) -> None:
        """Handshakes to come are by these."""
        self.setting, self.loaded = setting, loaded
        self.names = Names([each.names for each in loaded])

    def _choose(self, conn: ssl.SSLObject, asked: str | None, base: ssl.SSLContext) -> None:
        conn.context = self.loaded[self.names.of(asked)].context

    def problems(self, now: float | None = None) -> list[str]:
        """A line for each certificate that has ended or soon will."""
        now = time.time() if now is None else now
        found = []
        for pair, each in zip(self.setting.pairs, self.loaded, strict=True):
            left_s = each.ends_at - now
            if left_s <= 0:
                found.append(f"The certificate {pair.certificate.name} has ended: clients refuse it.")
            elif left_s < WARN_S:
                found.append(f"The certificate {pair.certificate.name} ends in {left_s / 86_400:.1f} days.")
        return found


def _context(setting: Setting) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = VERSIONS[setting.least]
    # RFC 9325 sections 3.4 and 3.5: none is needed, and each has been an attack.
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.set_alpn_protocols(["http/1.1"])
    if setting.client_ca is not None:
        try:
            context.load_verify_locations(setting.client_ca)
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"[https] client_ca: {setting.client_ca} cannot be used: {error}") from None
        context.verify_mode = ssl.CERT_OPTIONAL  # a route that needs one says so; others do without
    return context


def load(setting: Setting) -> tuple[Loaded, ...]:
    """Raises ConfigError for files that cannot be used."""
    return tuple(_load(pair, setting) for pair in setting.pairs)


def _load(pair: Pair, setting: Setting) -> Loaded:
    """Raises ConfigError."""
    context = _context(setting)
    try:
        mode = pair.key.stat().st_mode
        if mode & (stat.S_IRGRP | stat.S_IROTH | stat.S_IWGRP | stat.S_IWOTH):
            raise ConfigError(f"the key {pair.key} can be read by others: chmod 600 it")
        chain, key = pair.certificate.read_bytes(), pair.key.read_bytes()
        certificate = x509.load_pem_x509_certificate(chain)
        context.load_cert_chain(pair.certificate, pair.key, password=_no_password)
    except (OSError, ssl.SSLError, ValueError) as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"the certificate {pair.certificate} or its key cannot be used: {error}") from None
    ends_at = certificate.not_valid_after_utc.timestamp()
    return Loaded(context, _names(certificate), ends_at, chain, key)


def _no_password() -> str:
    raise ValueError("the key is locked by a password")


def _names(certificate: x509.Certificate) -> tuple[str, ...]:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (
        *names.get_values_for_type(x509.DNSName),
        *(str(address) for address in names.get_values_for_type(x509.IPAddress)),
    )


def box_context(authority: Path) -> ssl.SSLContext:
    """For connections to boxes whose certificates this authority signs. Raises ConfigError."""
    try:
        context = ssl.create_default_context(cafile=str(authority))
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"the authority {authority} cannot be used: {error}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    return context
