"""Check the certificates and keys that the settings name.

The same checks run before a process starts and before it takes up changed files.
"""

import stat
from collections.abc import Generator, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from result import Err, Ok, Result

from cranberrywall.settings._problem import Problem

_OTHERS = stat.S_IRWXG | stat.S_IRWXO
_STREAMS = ("certificate", "key", "authorities")
_PATHS_OF_CALLERS = ("certificate", "key")


class KeyPair(NamedTuple):
    """Hold the paths of a certificate (with its chain) and of its key, both PEM."""

    certificate: str
    key: str


class TlsFiles(NamedTuple):
    """Hold the paths that the section ``tls`` names; ``None`` where one is left out."""

    streams: KeyPair | None
    authorities: str | None
    callers: KeyPair | None

    @property
    def paths(self) -> tuple[str, ...]:
        """Return every path."""
        pairs = [pair for pair in (self.streams, self.callers) if pair is not None]
        paths = [path for pair in pairs for path in pair]
        return (*paths, self.authorities) if self.authorities else tuple(paths)


def tls_files_of(section: Any) -> TlsFiles:
    """Return the files of a checked section ``tls``; an empty one names none."""
    streams = KeyPair(section["certificate"], section["key"]) if "key" in section else None
    callers = section.get("callers")
    return TlsFiles(
        streams,
        section.get("authorities"),
        KeyPair(callers["certificate"], callers["key"]) if callers else None,
    )


def resolve_tls_paths(section: Any, folder: Path) -> None:
    """Make the section's paths absolute; relative ones are taken from ``folder``."""
    for names, holder in ((_STREAMS, section), (_PATHS_OF_CALLERS, section.get("callers", {}))):
        for name in names:
            if name in holder:
                holder[name] = str((folder / holder[name]).resolve())


def check_tls(section: Any, host: str, now: float) -> Iterator[Problem]:
    """Yield the problems with a section ``tls`` of right shape and with its files.

    ``host`` is the name that the certificate of the streams must carry, ``now`` the
    present time in seconds since the Unix epoch.
    """
    if any(name in section for name in _STREAMS[:2]):
        missing = [name for name in _STREAMS if name not in section]
        for name in missing:
            message = "is missing, and TLS on the streams needs certificate, key and authorities"
            yield Problem("S014", f"tls.{name}", message, f"add `{name}: FILE`")
        if missing:
            return
    files = tls_files_of(section)
    authorities = yield from _check_certificates("tls.authorities", files.authorities)
    if files.streams is not None:
        chain = yield from _check_pair("tls", files.streams, now)
        if chain and authorities:
            yield from _check_streams(files.streams.certificate, chain, authorities, host)
    if files.callers is not None:
        yield from _check_pair("tls.callers", files.callers, now)


def expiry_of(path: str) -> float:
    """Return when a checked certificate expires, in seconds since the Unix epoch."""
    leaf = x509.load_pem_x509_certificates(Path(path).read_bytes())[0]
    return leaf.not_valid_after_utc.timestamp()


Chain = list[x509.Certificate]


def _check_pair(field: str, pair: KeyPair, now: float) -> Generator[Problem, None, Chain]:
    chain = yield from _check_certificates(f"{field}.certificate", pair.certificate)
    key = yield from _check_key(f"{field}.key", pair.key)
    if not chain:
        return []
    yield from _check_dates(f"{field}.certificate", chain[0], now)
    if key is not None and key.public_key() != chain[0].public_key():
        message = f"{pair.key} is not the key of {pair.certificate}"
        remedy = "put the certificate and the key that were made together in place"
        yield Problem("S020", f"{field}.key", message, remedy)
    return chain


def _read(field: str, path: str) -> Result[bytes, Problem]:
    try:
        return Ok(Path(path).read_bytes())
    except OSError as error:
        remedy = "name a file that this user may read; `cranberrywallctl keys` makes them"
        return Err(Problem("S017", field, f"{path} cannot be read: {error.strerror}", remedy))


def _check_certificates(field: str, path: str | None) -> Generator[Problem, None, Chain]:
    if path is None:
        return []
    read = _read(field, path)
    if isinstance(read, Err):
        yield read.err_value
        return []
    try:
        return x509.load_pem_x509_certificates(read.ok_value)
    except ValueError:
        message = f"{path} holds no whole certificate"
        yield Problem("S019", field, message, "give a PEM file of one or more certificates")
        return []


def _check_key(field: str, path: str) -> Generator[Problem, None, PrivateKeyTypes | None]:
    read = _read(field, path)
    if isinstance(read, Err):
        yield read.err_value
        return None
    mode = stat.S_IMODE(Path(path).stat().st_mode)
    if mode & _OTHERS:
        message = f"others may reach {path} (mode {mode:04o})"
        yield Problem("S018", field, message, f"run `chmod 600 {path}`")
    try:
        return load_pem_private_key(read.ok_value, password=None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        message = f"{path} holds no whole key without a password"
        yield Problem("S019", field, message, "give a PEM file of one private key")
        return None


def _check_dates(field: str, leaf: x509.Certificate, now: float) -> Iterator[Problem]:
    moment = datetime.fromtimestamp(now, UTC)
    if moment < leaf.not_valid_before_utc:
        message = f"is not valid before {leaf.not_valid_before_utc:%Y-%m-%d %H:%M} UTC"
        yield Problem("S021", field, message, "set this machine's clock, or wait")
    if moment > leaf.not_valid_after_utc:
        message = f"expired at {leaf.not_valid_after_utc:%Y-%m-%d %H:%M} UTC"
        yield Problem("S021", field, message, "renew it: `cranberrywallctl keys --renew`")


def _check_streams(path: str, chain: Chain, authorities: Chain, host: str) -> Iterator[Problem]:
    names = _names_of(chain[0])
    if host not in names:
        message = f"{path} names {', '.join(names) or 'no host'}, and this host is {host}"
        remedy = "give the certificate that was made for this host"
        yield Problem("S022", "tls.certificate", message, remedy)
    if not _is_under(chain, authorities):
        message = f"none of the authorities issued {path}"
        remedy = "add the certificate of its authority to the file of authorities first"
        yield Problem("S023", "tls.certificate", message, remedy)


def _names_of(leaf: x509.Certificate) -> list[str]:
    try:
        names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, ValueError):
        return []
    return names.get_values_for_type(x509.DNSName)


def _is_under(chain: Chain, authorities: Chain) -> bool:
    links = zip(chain, chain[1:], strict=False)
    if not all(_is_issued(lower, upper) for lower, upper in links):
        return False
    return any(_is_issued(chain[-1], authority) for authority in authorities)


def _is_issued(lower: x509.Certificate, upper: x509.Certificate) -> bool:
    try:
        lower.verify_directly_issued_by(upper)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True
