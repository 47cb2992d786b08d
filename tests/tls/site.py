"""Make certificates, and run a server of streams with callers of it over real TLS."""

import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import uvloop
from result import Ok

from cranberrywall.links import (
    LinkCaller,
    LinkCounters,
    LinkServer,
    Method,
    Peer,
    make_caller,
    make_link_server,
)
from cranberrywall.runtime import StreamContexts, make_clock, make_network
from cranberrywall.settings import Tls
from cranberrywall.tls import TlsKeeper
from cranberrywall.tls.authority import HostNames, make_fleet_certificates

KEY = b"k" * 32


class Word(NamedTuple):
    text: str


ECHO = Method("test.echo", Word, Word)


def make_site(folder: Path, *hosts: str, at: float | None = None) -> Path:
    names = [HostNames(host, ("127.0.0.1",)) for host in hosts]
    make_fleet_certificates(str(folder), time.time() if at is None else at).make(names)
    return folder


def tls_section(site: Path, host: str, authorities: Path | None = None) -> Tls:
    return {
        "certificate": str(site / f"{host}.crt"),
        "key": str(site / f"{host}.key"),
        "authorities": str(authorities or site / "authorities.crt"),
        "reread": "30s",
    }


def keeper_of(site: Path, host: str, authorities: Path | None = None) -> TlsKeeper:
    return TlsKeeper(tls_section(site, host, authorities), host, make_clock())


class Streams:
    """Hold a server that answers with the caller's host, and callers of it."""

    def __init__(self, contexts: StreamContexts) -> None:
        self.clock = make_clock()
        self.counters = LinkCounters()
        self.caller_counters = LinkCounters()
        self.callers: list[LinkCaller] = []
        network = make_network(contexts)
        identity = Peer("server", "kranj", 1)
        self.server: LinkServer = make_link_server(
            network, self.clock, "127.0.0.1:0", KEY, identity, self.counters
        )
        self.server.register(ECHO, self._echo)

    def caller(self, host: str, contexts: StreamContexts | None) -> LinkCaller:
        caller = make_caller(
            make_network(contexts),
            self.clock,
            random.Random(1),
            KEY,
            Peer(host, "kranj", 1),
            self.caller_counters,
        )
        self.callers.append(caller)
        return caller

    async def ask(self, caller: LinkCaller, text: str = "word"):
        return await caller.call(self.server.address, ECHO, Word(text), 5.0)

    async def _echo(self, word: Word, peer: Peer):
        return Ok(Word(f"{word.text} of {peer.host}"))


def with_streams(contexts: StreamContexts, test: Callable[[Streams], Awaitable[None]]) -> None:
    async def main() -> None:
        streams = Streams(contexts)
        await streams.server.start()
        try:
            await test(streams)
        finally:
            for caller in streams.callers:
                await caller.close()
            await streams.server.close()

    uvloop.run(main())
