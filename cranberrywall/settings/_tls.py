"""Check the section ``tls`` of the settings, and the files that it names.

The same checks run before a process starts and before it takes up changed files. What reads
certificates is imported only where files are named: it takes a process 0.07 s of its start.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from cranberrywall.settings._problem import Problem

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
    if files.paths:
        from cranberrywall.settings._certificates import check_files

        yield from check_files(files, host, now)


def expiry_of(path: str) -> float:
    """Return when a checked certificate expires, in seconds since the Unix epoch."""
    from cranberrywall.settings._certificates import expiry_of_file

    return expiry_of_file(path)
