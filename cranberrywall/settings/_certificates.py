"""Read the certificates and keys that the settings name, and check them."""

import stat
from collections.abc import Generator, Iterator
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from result import Err, Ok, Result

from cranberrywall.settings._problem import Problem
from cranberrywall.settings._tls import KeyPair, TlsFiles

_OTHERS = stat.S_IRWXG | stat.S_IRWXO

Chain = list[x509.Certificate]


def check_files(files: TlsFiles, host: str, now: float) -> Iterator[Problem]:
    """Yield the problems with the named files.

    ``host`` is the name that the certificate of the streams must carry, ``now`` the
    present time in seconds since the Unix epoch.
    """
    authorities = yield from _check_certificates("tls.authorities", files.authorities)
    if files.streams is not None:
        chain = yield from _check_pair("tls", files.streams, now)
        if chain and authorities:
            yield from _check_streams(files.streams.certificate, chain, authorities, host)
    if files.callers is not None:
        yield from _check_pair("tls.callers", files.callers, now)


def expiry_of_file(path: str) -> float:
    """Return when a checked certificate expires, in seconds since the Unix epoch."""
    leaf = x509.load_pem_x509_certificates(Path(path).read_bytes())[0]
    return leaf.not_valid_after_utc.timestamp()


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
