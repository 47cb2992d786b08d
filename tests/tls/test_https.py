"""Check HTTPS: what a keeper serves with, and which targets it trusts."""

import uvloop
from aiohttp import web

from cranberrywall.orders import make_http_sender
from cranberrywall.orders.messages import Action, Fate
from cranberrywall.runtime import make_clock
from cranberrywall.settings import TlsCallers
from cranberrywall.tls import TlsKeeper
from tests.tls.site import make_site, tls_section

ACTION = Action("load", "letters", "v2")


def test_an_order_goes_to_an_engine_of_a_trusted_authority_alone(tmp_path):
    """An engine serves HTTPS by another authority's certificate, as after a wrong set-up.

    No order reaches it, and the plan hears that none was sent. Once the operator trusts that
    authority too, the next order goes out, without a restart.
    """
    site, other = make_site(tmp_path / "site", "entry-1"), make_site(tmp_path / "other", "engine")
    pair = tls_section(other, "engine")
    callers: TlsCallers = {"certificate": pair["certificate"], "key": pair["key"]}
    engine = TlsKeeper({"callers": callers, "reread": "30s"}, "engine", make_clock())
    host = TlsKeeper(tls_section(site, "entry-1"), "entry-1", make_clock())
    arrived: list[int] = []

    async def take(request: web.Request) -> web.Response:
        arrived.append((await request.json())["number"])
        return web.Response()

    async def main() -> None:
        app = web.Application()
        app.router.add_post("/v1/orders", take)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=engine.http).start()
        sender = make_http_sender(host.fetch)
        url = f"https://127.0.0.1:{runner.addresses[0][1]}"
        try:
            assert await sender.send(url, 1, ACTION, 5.0) is Fate.NEVER_SENT
            with (site / "authorities.crt").open("ab") as file:
                file.write((other / "authority.crt").read_bytes())
            assert host.look()
            assert await sender.send(url, 2, ACTION, 5.0) is Fate.DONE
            assert arrived == [2]
        finally:
            await sender.close()
            await runner.cleanup()

    uvloop.run(main())
