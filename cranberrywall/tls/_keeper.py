"""Look at the files again on an interval and on SIGHUP, and take them up where they are whole."""

import asyncio
import hashlib
import signal
import ssl
from pathlib import Path

from cranberrywall.observability import EventLimiter, log_event
from cranberrywall.runtime import Clock
from cranberrywall.settings import (
    Settings,
    Tls,
    check_tls,
    expiry_of,
    seconds,
    tls_files_of,
)
from cranberrywall.tls._contexts import (
    Contexts,
    make_contexts,
    make_fetch_context,
    make_front,
    report_failures,
)

_DAY_S = 86_400.0
_WARN_BEFORE_S = 14 * _DAY_S


class TlsKeeper:
    """Hold the contexts in force; connections that are open keep theirs.

    It is what ``runtime.make_network`` takes as contexts.
    """

    def __init__(self, section: Tls, host: str, clock: Clock) -> None:
        self._section = section
        self._host = host
        self._clock = clock
        self._files = tls_files_of(section)
        self._refusal_events = EventLimiter(clock.now)
        self._expiry_events = EventLimiter(clock.now, _DAY_S)
        self._taken_up = _digest(self._files.paths)
        self._refused = b""
        self._contexts = make_contexts(self._files)
        # Listeners keep these for their lives, and turn to the newest on each connection.
        fronts = make_contexts(self._files)
        self._listen_front = fronts.listen
        self._http_front = fronts.http
        authorities = self._files.authorities
        self._fetch = None if authorities is None else make_fetch_context(authorities)
        if self._listen_front is not None:
            make_front(self._listen_front, lambda: self._contexts.listen)
            report_failures(self._listen_front, self._report_refused)
        if self._http_front is not None:
            make_front(self._http_front, lambda: self._contexts.http)

    @property
    def guards_streams(self) -> bool:
        """Return whether the settings ask TLS on the streams."""
        return self._files.streams is not None

    @property
    def http(self) -> ssl.SSLContext | None:
        """Return the context to serve HTTPS with; ``None`` for plain HTTP."""
        return self._http_front

    @property
    def fetch(self) -> ssl.SSLContext | None:
        """Return the context for HTTPS to targets; ``None`` for the system's authorities.

        Authorities that are added later count in it too. One that was taken away counts
        until a restart.
        """
        return self._fetch

    def server(self) -> ssl.SSLContext:
        """Return the context for a listener of streams."""
        if self._listen_front is None:
            raise ValueError("the settings name no certificate for the streams")
        return self._listen_front

    def client(self) -> ssl.SSLContext:
        """Return the context to dial a stream with now."""
        if self._contexts.dial is None:
            raise ValueError("the settings name no certificate for the streams")
        return self._contexts.dial

    async def run(self) -> None:
        """Look at the files again and again."""
        while True:
            self.look()
            await self._clock.sleep(seconds(self._section["reread"]))

    def look(self) -> bool:
        """Take up files that changed; return whether new ones are in force.

        Files that are not whole and right leave the old ones in force, and are named in
        one event for each state of the files.
        """
        self._warn_of_expiry()
        found = _digest(self._files.paths)
        if found in (self._taken_up, self._refused):
            return False
        contexts = self._make_checked()
        if isinstance(contexts, str):
            self._refused = found
            log_event("ERROR", "tls_files_refused", reason=contexts)
            return False
        if _digest(self._files.paths) != found:
            # They changed between the check and the use; the next look takes them.
            return False
        self._taken_up, self._refused = found, b""
        self._contexts = contexts
        if self._fetch is not None and self._files.authorities is not None:
            self._fetch.load_verify_locations(cafile=self._files.authorities)
        log_event("INFO", "tls_files_taken_up", files=len(self._files.paths))
        return True

    def _report_refused(self, error: ssl.SSLError) -> None:
        detail = error.verify_message if isinstance(error, ssl.SSLCertVerificationError) else ""
        self._refusal_events.log(
            "WARNING", "tls_handshake_refused", error.reason or "unknown", detail=detail
        )

    def _make_checked(self) -> Contexts | str:
        problems = list(check_tls(self._section, self._host, self._clock.wall()))
        if problems:
            return "; ".join(str(problem) for problem in problems)
        try:
            return make_contexts(self._files)
        except (OSError, ValueError) as error:
            return str(error)

    def _warn_of_expiry(self) -> None:
        for pair in (self._files.streams, self._files.callers):
            if pair is None:
                continue
            try:
                left = expiry_of(pair.certificate) - self._clock.wall()
            except (OSError, ValueError):
                # A file that is no certificate now is named by the look itself.
                continue
            if left < _WARN_BEFORE_S:
                self._expiry_events.log(
                    "WARNING",
                    "tls_certificate_expires",
                    "near" if left > 0 else "past",
                    file=pair.certificate,
                    hours=round(left / 3600.0),
                )


def make_tls_keeper(settings: Settings, clock: Clock) -> TlsKeeper | None:
    """Return the keeper of checked settings; ``None`` where they name no file.

    Raise ``OSError`` or ``ValueError`` for files that changed since the check.
    """
    section = settings["tls"]
    if not tls_files_of(section).paths:
        return None
    return TlsKeeper(section, settings["host"], clock)


def look_again_on_signal(keeper: TlsKeeper) -> None:
    """Look at the files on SIGHUP; the event loop must run."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, keeper.look)


def _digest(paths: tuple[str, ...]) -> bytes:
    digest = hashlib.sha256()
    for path in paths:
        try:
            data = Path(path).read_bytes()
        except OSError as error:
            data = f"unreadable: {error.errno}".encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.digest()
