"""Check that new certificates come into force without a restart, and bad ones do not."""

import asyncio
import io
import shutil
import time
from functools import partial
from pathlib import Path

import pytest
from result import Err, Ok

from cranberrywall.observability import configure_log
from cranberrywall.tls import TlsKeeper
from tests.tls.site import Streams, Word, keeper_of, make_site, with_streams


@pytest.fixture
def events():
    sink = io.StringIO()
    configure_log("entry", "server", "kranj", "INFO", sink)
    return sink


def put(site: Path, into: Path, *hosts: str) -> None:
    for name in (f"{host}.{kind}" for host in hosts for kind in ("crt", "key")):
        shutil.copy(site / name, into / name)


def trust(folder: Path, *sites: Path) -> None:
    text = b"".join((site / "authority.crt").read_bytes() for site in sites)
    (folder / "authorities.crt").write_bytes(text)


async def connect_and_ask(streams: Streams, keeper: TlsKeeper):
    return await streams.ask(streams.caller("entry-1", keeper))


def test_the_authority_changes_while_calls_are_in_progress(tmp_path: Path, events):
    """A site changes its authority over a day: trust both, new certificates, trust the new one.

    Calls go on all the while over a connection that was open before. At each step new
    connections work, and after the last a host of the old authority is refused.
    """
    old = make_site(tmp_path / "old", "server", "entry-1")
    new = make_site(tmp_path / "new", "server", "entry-1")
    live = make_site(tmp_path / "live", "server", "entry-1")
    put(old, live, "server", "entry-1")
    trust(live, old)
    server, caller = keeper_of(live, "server"), keeper_of(live, "entry-1")
    both = tmp_path / "both"
    both.mkdir()
    trust(both, old, new)
    left_behind = keeper_of(old, "entry-1", both / "authorities.crt")

    async def test(streams: Streams) -> None:
        long_open = streams.caller("entry-1", caller)

        async def call_on() -> int:
            for number in range(200):
                assert await streams.ask(long_open, str(number)) == Ok(Word(f"{number} of entry-1"))
            return 200

        calls = asyncio.create_task(call_on())
        for step in (
            partial(trust, live, old, new),
            partial(put, new, live, "server", "entry-1"),
            partial(trust, live, new),
        ):
            step()
            assert (server.look(), caller.look()) == (True, True)
            assert await connect_and_ask(streams, caller) == Ok(Word("word of entry-1"))
        assert "tls_handshake_refused" not in events.getvalue()
        assert isinstance(await connect_and_ask(streams, left_behind), Err)
        assert "event=tls_handshake_refused" in events.getvalue()
        assert await calls == 200
        assert await streams.ask(long_open) == Ok(Word("word of entry-1"))
        assert not streams.caller_counters.dropped_by_reason

    with_streams(server, test)


def test_a_half_written_file_keeps_the_old_one_in_force(tmp_path: Path, events):
    """An operator's copy of a new certificate stops half-way, as on a full disk.

    The process goes on with the old one, for new connections too, and logs one event
    however often it looks. Once the copy is whole, it is taken up.
    """
    live = make_site(tmp_path / "live", "server", "entry-1")
    renewed = make_site(tmp_path / "renewed", "server")
    keeper = keeper_of(live, "server")
    trust(live, live, renewed)
    assert keeper.look()

    async def test(streams: Streams) -> None:
        whole = (renewed / "server.crt").read_bytes()
        (live / "server.crt").write_bytes(whole[: len(whole) // 2])
        assert [keeper.look() for _ in range(3)] == [False, False, False]
        caller = keeper_of(live, "entry-1")
        assert await connect_and_ask(streams, caller) == Ok(Word("word of entry-1"))
        assert events.getvalue().count("event=tls_files_refused") == 1
        assert "S019 tls.certificate" in events.getvalue()
        # Whole now, but the key beside it is still the old one's.
        (live / "server.crt").write_bytes(whole)
        assert not keeper.look()
        assert "S020 tls.key" in events.getvalue()
        shutil.copy(renewed / "server.key", live / "server.key")
        assert keeper.look()
        assert not keeper.look()
        assert await connect_and_ask(streams, caller) == Ok(Word("word of entry-1"))

    with_streams(keeper, test)


def test_a_certificate_near_its_end_is_named_once_a_day(tmp_path: Path, events):
    site = make_site(tmp_path / "site", "server")
    keeper = keeper_of(site, "server")
    keeper.look()
    assert "tls_certificate_expires" not in events.getvalue()
    late = make_site(tmp_path / "late", "server", at=time.time() - 390 * 86_400.0)
    keeper = keeper_of(late, "server")
    keeper.look()
    keeper.look()
    assert events.getvalue().count("event=tls_certificate_expires") == 1
