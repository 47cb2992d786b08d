"""Make a small site's authority and one certificate a host."""

import os
import re
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

AUTHORITY = "authority"
AUTHORITIES_FILE = "authorities.crt"

AUTHORITY_DAYS = 3650
HOST_DAYS = 397
"""A year and a month, so that a yearly renewal has a month to be late."""

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_CLOCK_SKEW = timedelta(hours=1)


class NamesTakenError(Exception):
    """Report files that exist already; nothing was written."""

    def __init__(self, files: list[Path]) -> None:
        super().__init__(f"{', '.join(str(file) for file in files)}: there already")
        self.files = files


class HostNames(NamedTuple):
    """Hold a host's name and the IP numbers that callers reach it by."""

    host: str
    addresses: tuple[str, ...] = ()


class FleetCertificates:
    """Keep an authority and certificates in one folder."""

    def __init__(self, folder: Path, now: float) -> None:
        self._folder = folder
        self._now = datetime.fromtimestamp(now, UTC)

    def make(self, hosts: Iterable[HostNames], trusted: bytes = b"") -> list[Path]:
        """Write the authority and each host's certificate and key, but for what is there.

        ``trusted`` is PEM of older authorities, which a new file of authorities names too.
        Return the files written. Raise ``NamesTakenError`` where half of a pair is there,
        and ``OSError`` or ``ValueError`` where the authority cannot be read.
        """
        hosts = [host for host in hosts if not self._is_made(host.host)]
        _check_names(hosts)
        if trusted and self._is_made(AUTHORITY):
            raise ValueError("older authorities go with a new one: give a new folder")
        if trusted:
            x509.load_pem_x509_certificates(trusted)
        self._check_free([path for host in hosts for path in self._paths(host.host)])
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        written = [] if self._is_made(AUTHORITY) else self._make_authority(trusted)
        for host in hosts:
            written += self._write_host(host, *self._paths(host.host))
        return written

    def renew(self, hosts: Iterable[HostNames], suffix: str) -> list[Path]:
        """Write new certificates and keys beside the old ones, as ``HOST-SUFFIX.crt``."""
        hosts = list(hosts)
        _check_names(hosts)
        names = [f"{host.host}-{suffix}" for host in hosts]
        self._check_free([path for name in names for path in self._paths(name)])
        written: list[Path] = []
        for host, name in zip(hosts, names, strict=True):
            written += self._write_host(host, *self._paths(name))
        return written

    def _paths(self, name: str) -> tuple[Path, Path]:
        return self._folder / f"{name}.crt", self._folder / f"{name}.key"

    def _is_made(self, name: str) -> bool:
        return all(path.exists() for path in self._paths(name))

    def _check_free(self, paths: list[Path]) -> None:
        taken = [path for path in paths if path.exists()]
        if taken:
            raise NamesTakenError(taken)

    def _make_authority(self, trusted: bytes) -> list[Path]:
        certificate_path, key_path = self._paths(AUTHORITY)
        self._check_free([key_path, certificate_path, self._folder / AUTHORITIES_FILE])
        key = ec.generate_private_key(ec.SECP256R1())
        # Two authorities of one name could be taken for each other; the number tells them apart.
        serial = x509.random_serial_number()
        name = x509.Name(
            [x509.NameAttribute(NameOID.COMMON_NAME, f"cranberrywall authority {serial:x}"[:64])]
        )
        usage = x509.KeyUsage(False, False, False, False, False, True, True, False, False)
        certificate = (
            self._builder(name, name, key.public_key(), AUTHORITY_DAYS, serial)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(usage, critical=True)
            .sign(key, hashes.SHA256())
        )
        pem = certificate.public_bytes(Encoding.PEM)
        _write_new(key_path, _pem_of(key))
        _write_new(certificate_path, pem)
        _write_new(self._folder / AUTHORITIES_FILE, pem + trusted)
        return [key_path, certificate_path, self._folder / AUTHORITIES_FILE]

    def _write_host(self, names: HostNames, certificate: Path, key_path: Path) -> list[Path]:
        authority, authority_key = self._read_authority()
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names.host)])
        alternatives: list[x509.GeneralName] = [x509.DNSName(names.host)]
        alternatives += [x509.IPAddress(ip_address(address)) for address in names.addresses]
        uses = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
        made = (
            self._builder(
                subject,
                authority.subject,
                key.public_key(),
                HOST_DAYS,
                x509.random_serial_number(),
            )
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(alternatives), critical=False)
            .add_extension(x509.ExtendedKeyUsage(uses), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(authority_key.public_key()),
                critical=False,
            )
            .sign(authority_key, hashes.SHA256())
        )
        _write_new(key_path, _pem_of(key))
        _write_new(certificate, made.public_bytes(Encoding.PEM))
        return [key_path, certificate]

    def _read_authority(self) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
        certificate_path, key_path = self._paths(AUTHORITY)
        certificate = x509.load_pem_x509_certificate(certificate_path.read_bytes())
        key = load_pem_private_key(key_path.read_bytes(), password=None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise ValueError(f"{key_path} is no key that `cranberrywallctl keys` made")
        return certificate, key

    def _builder(
        self,
        subject: x509.Name,
        issuer: x509.Name,
        key: ec.EllipticCurvePublicKey,
        days: int,
        serial: int,
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key)
            .serial_number(serial)
            .not_valid_before(self._now - _CLOCK_SKEW)
            .not_valid_after(self._now + timedelta(days=days))
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
        )


def make_fleet_certificates(folder: str, now: float) -> FleetCertificates:
    """Return the certificates in ``folder``; ``now`` is in seconds since the Unix epoch."""
    return FleetCertificates(Path(folder), now)


def _check_names(hosts: list[HostNames]) -> None:
    for host in hosts:
        if host.host == AUTHORITY or not _NAME.fullmatch(host.host):
            raise ValueError(f"`{host.host}` is no name of a host")
        for address in host.addresses:
            ip_address(address)


def _pem_of(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


def _write_new(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with open(descriptor, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
