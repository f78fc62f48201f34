"""Certificates for tests: an authority, and pairs that it signs or does not. Needs `cryptography`."""

from __future__ import annotations

import datetime
import ipaddress
from collections.abc import Sequence
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)


class Authority:
    def __init__(self, folder: Path, name: str = "ca") -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"stand-in {name}")])
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        certificate = self._builder(self.name, self.key.public_key()).add_extension(
            constraints, critical=True
        )
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(
            certificate.sign(self.key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        )

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, life: datetime.timedelta = DAY
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + life)
        )

    def pair(
        self,
        name: str,
        address: str = "127.0.0.1",
        hosts: Sequence[str] = (),
        life: datetime.timedelta = DAY,
    ) -> tuple[Path, Path]:
        """A certificate for an address and for hosts' names, and its key, which only its owner can read."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        names = x509.SubjectAlternativeName(
            [x509.IPAddress(ipaddress.ip_address(address)), *map(x509.DNSName, hosts)]
        )
        certificate = self._builder(subject, key.public_key(), life).add_extension(names, critical=False)
        signed = certificate.sign(self.key, hashes.SHA256())
        certificate_path, key_path = self.folder / f"{name}.pem", self.folder / f"{name}-key.pem"
        certificate_path.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        key_path.chmod(0o600)
        return certificate_path, key_path
