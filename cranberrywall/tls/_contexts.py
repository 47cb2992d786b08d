"""Make TLS contexts of checked files."""

import ssl
from collections.abc import Callable
from typing import Any, NamedTuple

from cranberrywall.settings import KeyPair, TlsFiles


class Contexts(NamedTuple):
    """Hold the contexts made of one state of the files.

    ``listen`` and ``dial`` are for the streams, ``http`` to serve HTTPS; ``None`` where the
    settings name no files for it.
    """

    listen: ssl.SSLContext | None
    dial: ssl.SSLContext | None
    http: ssl.SSLContext | None


def make_contexts(files: TlsFiles) -> Contexts:
    """Return the contexts; raise ``OSError`` or ``ValueError`` for files that do not fit."""
    listen = dial = None
    if files.streams is not None and files.authorities is not None:
        listen = _make_stream_context(ssl.PROTOCOL_TLS_SERVER, files.streams, files.authorities)
        dial = _make_stream_context(ssl.PROTOCOL_TLS_CLIENT, files.streams, files.authorities)
    http = None if files.callers is None else _make_http_context(files.callers)
    return Contexts(listen, dial, http)


def make_fetch_context(authorities: str) -> ssl.SSLContext:
    """Return a context to ask HTTPS of targets: the system's authorities and the file's.

    It reads all of the system's, which takes tens of milliseconds: make it once.
    """
    context = ssl.create_default_context()
    context.load_verify_locations(cafile=authorities)
    return context


def make_front(
    first: ssl.SSLContext, choose: Callable[[], ssl.SSLContext | None]
) -> ssl.SSLContext:
    """Turn ``first`` into a context for a listener whose connections get what ``choose`` gives.

    A listener keeps one context for its life. Its callback for the server's name runs on
    each connection before a certificate is shown or asked, also where the other end names
    no server.
    """

    def switch(connection: Any, name: str | None, context: ssl.SSLContext) -> None:
        chosen = choose()
        if chosen is not None:
            connection.context = chosen

    first.sni_callback = switch
    return first


def report_failures(context: ssl.SSLContext, report: Callable[[ssl.SSLError], None]) -> None:
    """Tell ``report`` of each handshake that fails on a listener's ``context``.

    The event loop drops such a connection without a word, at both ends: a host whose
    certificate has expired would vanish from the fleet, and no log would say why.
    """

    class ReportingObject(ssl.SSLObject):
        def do_handshake(self) -> None:
            try:
                super().do_handshake()
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                raise
            except ssl.SSLError as error:
                report(error)
                raise

    context.sslobject_class = ReportingObject


def _make_stream_context(protocol: Any, pair: KeyPair, authorities: str) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Hosts are dialled by IP number. Which host a certificate must name is known only from
    # what the other end claims in the streams' handshake, and is checked there.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(cafile=authorities)
    context.load_cert_chain(pair.certificate, pair.key)
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A resumed session skips the certificates, so that one of an authority that is
        # trusted no more would go on to work.
        context.num_tickets = 0
    return context


def _make_http_context(pair: KeyPair) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(pair.certificate, pair.key)
    return context
