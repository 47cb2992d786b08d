"""Make the entry program with the product's own interface for callers."""

from cranberrywall.commands._caller_front import CallerFront
from cranberrywall.commands._entry_program import EntryProgram
from cranberrywall.commands._keys import load_keys
from cranberrywall.runtime import Runtime
from cranberrywall.settings import Settings
from cranberrywall.tls import TlsKeeper


def make_entry_program(
    settings: Settings, runtime: Runtime, tls: TlsKeeper | None = None
) -> EntryProgram:
    """Return the entry program of checked settings; ``tls`` gives HTTPS.

    Raise ``ValueError`` for a key file that changed since the check.
    """
    keys = load_keys(settings)
    front = CallerFront(settings, keys.target, runtime.clock, tls)
    return EntryProgram(settings, runtime, keys, front)
