"""Listen for HTTP on one address, without aiohttp's own access log."""

from ssl import SSLContext

from aiohttp import web

from cranberrywall.runtime import split_address


class HttpListener:
    """Serve one application; requests in progress have ``shutdown_s`` seconds to end.

    ``context`` gives HTTPS.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        shutdown_s: float,
        context: SSLContext | None = None,
    ) -> None:
        self._address = address
        self._context = context
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=shutdown_s)

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound once started."""
        return self._address

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        host, port = split_address(self._address)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, ssl_context=self._context).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        self._address = f"{bound_host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()
