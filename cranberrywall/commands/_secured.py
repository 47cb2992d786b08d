"""Make a program's runtime, with TLS where its settings name certificates."""

import asyncio
from typing import NamedTuple

from cranberrywall.runtime import Runtime, make_clock, make_runtime
from cranberrywall.settings import Settings
from cranberrywall.tls import TlsKeeper, look_again_on_signal, make_tls_keeper


class Secured(NamedTuple):
    """Hold a runtime and what keeps its certificates; ``None`` without TLS."""

    runtime: Runtime
    keeper: TlsKeeper | None

    def watch(self) -> asyncio.Task[None] | None:
        """Look at the files again on the settings' interval and on SIGHUP, in a task."""
        if self.keeper is None:
            return None
        look_again_on_signal(self.keeper)
        return asyncio.create_task(self.keeper.run())


def make_secured(settings: Settings) -> Secured:
    """Return the runtime of checked settings.

    Raise ``OSError`` or ``ValueError`` for certificates that changed since the check.
    """
    keeper = make_tls_keeper(settings, make_clock())
    contexts = keeper if keeper is not None and keeper.guards_streams else None
    return Secured(make_runtime(settings.get("data"), contexts=contexts), keeper)
