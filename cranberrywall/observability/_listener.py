"""Listen for HTTP on one address, without aiohttp's own access log."""

from aiohttp import web

from cranberrywall.runtime import split_address


class HttpListener:
    """Serve one application; requests in progress have ``shutdown_s`` seconds to end."""

    def __init__(self, app: web.Application, address: str, shutdown_s: float) -> None:
        self._address = address
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=shutdown_s)

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound once started."""
        return self._address

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        host, port = split_address(self._address)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        self._address = f"{bound_host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()
