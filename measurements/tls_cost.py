"""Measure what TLS costs on the streams: calls a second with and without, and a handshake.

One process holds both ends, over loopback: two hosts bear half each. Rates are calls for each
second of processor time, which a busy machine changes less than the time that passes; the
handshake is time that passes. Certificates are made by the code of ``cranberrywallctl keys``.
Plain and TLS rounds take turns, so that a slow moment of the machine falls on both.
"""

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click
import uvloop
from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import LinkCaller, Method, Peer, make_caller, make_link_server
from cranberrywall.runtime import StreamContexts, make_clock, make_network
from cranberrywall.settings import Tls
from cranberrywall.tls import TlsKeeper
from cranberrywall.tls.authority import HostNames, make_fleet_certificates
from measurements._figures import report_figures

_KEY = b"k" * 32
_TIMEOUT_S = 30.0
_SIDE_BY_SIDE = 32
_PAYLOAD_BYTES = 256


class Text(NamedTuple):
    """Hold what goes there and back."""

    data: bytes


_ECHO = Method("measure.echo", Text, Text)


class Ends:
    """Hold a server of streams and make callers of it."""

    def __init__(self, server: StreamContexts | None, caller: StreamContexts | None) -> None:
        self._clock = make_clock()
        self._contexts = caller
        identity = Peer("server", "kranj", 1)
        self.server = make_link_server(
            make_network(server), self._clock, "127.0.0.1:0", _KEY, identity
        )
        self.server.register(_ECHO, self._echo)
        self.caller = self.make_caller()

    async def calls_per_s(self, calls: int) -> float:
        """Return calls a second of processor time on one connection, some side by side."""
        await self._call_one_by_one(1)
        began = time.process_time()
        share = calls // _SIDE_BY_SIDE
        await asyncio.gather(*(self._call_one_by_one(share) for _ in range(_SIDE_BY_SIDE)))
        return share * _SIDE_BY_SIDE / (time.process_time() - began)

    async def connect_ms(self, connections: int) -> list[float]:
        """Return how long a first call on each new connection took, in milliseconds."""
        took = []
        for _ in range(connections):
            caller = self.make_caller()
            began = self._clock.now()
            (await caller.call(self.server.address, _ECHO, Text(b""), _TIMEOUT_S)).unwrap()
            took.append((self._clock.now() - began) * 1000.0)
            await caller.close()
        return took

    def make_caller(self) -> LinkCaller:
        """Return a caller without a connection."""
        network = make_network(self._contexts)
        me = Peer("entry-1", "kranj", 1)
        return make_caller(network, self._clock, random.Random(1), _KEY, me)

    async def close(self) -> None:
        """Close both ends."""
        await self.caller.close()
        await self.server.close()

    async def _call_one_by_one(self, calls: int) -> None:
        text = Text(bytes(_PAYLOAD_BYTES))
        for _ in range(calls):
            (await self.caller.call(self.server.address, _ECHO, text, _TIMEOUT_S)).unwrap()

    async def _echo(self, text: Text, peer: Peer) -> Result[Text, Refusal]:
        return Ok(text)


def _make_keepers(folder: Path) -> tuple[TlsKeeper, TlsKeeper]:
    hosts = [HostNames("server"), HostNames("entry-1")]
    make_fleet_certificates(str(folder), time.time()).make(hosts)

    def keeper_of(host: str) -> TlsKeeper:
        section: Tls = {
            "certificate": str(folder / f"{host}.crt"),
            "key": str(folder / f"{host}.key"),
            "authorities": str(folder / "authorities.crt"),
            "reread": "30s",
        }
        return TlsKeeper(section, host, make_clock())

    return keeper_of("server"), keeper_of("entry-1")


async def _measure(rounds: int, calls: int, connections: int, folder: Path) -> dict[str, float]:
    plain, tls = Ends(None, None), Ends(*_make_keepers(folder))
    ends = (plain, tls)
    rates: dict[Ends, list[float]] = {one: [] for one in ends}
    waits: dict[Ends, list[float]] = {one: [] for one in ends}
    for one in ends:
        await one.server.start()
    for number in range(rounds):
        for one in ends:
            rates[one].append(await one.calls_per_s(calls))
            waits[one] += await one.connect_ms(connections)
        shown = " ".join(f"{rates[one][-1]:.0f}" for one in ends)
        click.echo(f"round {number + 1}: calls a second, plain and TLS: {shown}")
    for one in ends:
        await one.close()
    rate_of = {one: statistics.median(rates[one]) for one in ends}
    wait_of = {one: statistics.median(waits[one]) for one in ends}
    return {
        "plain_calls_per_s": rate_of[plain],
        "tls_calls_per_s": rate_of[tls],
        "ratio": rate_of[tls] / rate_of[plain],
        "handshake_ms": wait_of[tls] - wait_of[plain],
        "plain_connect_ms": wait_of[plain],
        "tls_connect_ms": wait_of[tls],
    }


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--calls", default=16_000, show_default=True, help="Calls in a round.")
@click.option("--connections", default=100, show_default=True, help="Connections in a round.")
def main(rounds: int, calls: int, connections: int) -> None:
    """Measure streams with and without TLS, medians over the rounds."""
    with tempfile.TemporaryDirectory() as folder:
        figures = uvloop.run(_measure(rounds, calls, connections, Path(folder) / "site"))
    report_figures("tls_cost", figures)


if __name__ == "__main__":
    main()
