"""Check that streams over TLS take just the fleet's own hosts, each under its own name."""

import io
import time
from pathlib import Path

import pytest
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.links import DropReason
from cranberrywall.observability import configure_log
from tests.tls.site import Streams, Word, keeper_of, make_site, with_streams

_YEARS_S = 365 * 86_400.0


@pytest.fixture
def site(tmp_path: Path) -> Path:
    return make_site(tmp_path / "site", "server", "entry-1", "entry-2")


@pytest.fixture
def events():
    sink = io.StringIO()
    configure_log("entry", "server", "kranj", "INFO", sink)
    return sink


def refuse(site: Path, contexts, host: str, events: io.StringIO, why: str, trusted=None):
    """Check that a caller that gives itself out for ``host`` is not served, and the log says why.

    ``trusted`` is the file of the authorities that the server trusts, the site's by default.
    """

    async def test(streams: Streams) -> None:
        answer = await streams.ask(streams.caller(host, contexts))
        assert isinstance(answer, Err)
        assert answer.err_value.kind is ErrorKind.UNREACHABLE
        assert events.getvalue().count(why) == 1
        good = streams.caller("entry-2", keeper_of(site, "entry-2"))
        assert await streams.ask(good) == Ok(Word("word of entry-2"))

    with_streams(keeper_of(site, "server", trusted), test)


def test_hosts_of_one_authority_talk(site: Path):
    async def test(streams: Streams) -> None:
        caller = streams.caller("entry-1", keeper_of(site, "entry-1"))
        assert await streams.ask(caller, "x" * 300_000) == Ok(Word("x" * 300_000 + " of entry-1"))

    with_streams(keeper_of(site, "server"), test)


def test_a_peer_that_holds_the_fleet_key_and_no_certificate_is_not_served(site: Path, events):
    """A host was set up without the section ``tls``, so that it dials in the clear.

    It has the fleet key, which alone would do without TLS. The server closes the connection
    at its first bytes, which are no TLS handshake; other hosts notice nothing.
    """
    refuse(site, None, "entry-1", events, "event=tls_handshake_refused")


def test_a_peer_of_another_authority_is_not_served(site: Path, tmp_path: Path, events):
    """Another site's host, with a right certificate of its own authority and this fleet's key.

    The caller trusts this site's authority, so that the refusal is the server's: it does
    not know who issued the caller's certificate.
    """
    other = make_site(tmp_path / "other", "entry-1")
    contexts = keeper_of(other, "entry-1", site / "authorities.crt")
    refuse(site, contexts, "entry-1", events, "reason=CERTIFICATE_VERIFY_FAILED")


def test_a_server_of_another_authority_is_not_called(site: Path, tmp_path: Path):
    """Somebody else's process listens where a host was: the caller hangs up before the proof."""
    other = make_site(tmp_path / "other", "server")

    async def test(streams: Streams) -> None:
        answer = await streams.ask(streams.caller("entry-1", keeper_of(site, "entry-1")))
        assert isinstance(answer, Err)
        assert "CERTIFICATE_VERIFY_FAILED" in answer.err_value.message
        assert streams.caller_counters.dropped_by_reason == {DropReason.TLS_FAILED: 1}
        assert not streams.counters.frames_in

    with_streams(keeper_of(other, "server", site / "authorities.crt"), test)


def test_a_peer_cannot_pass_for_another_host(site: Path, events):
    """A host that was taken over gives itself out for another, to spend the other's allotment.

    It has the fleet key, so that its proof is right. Its certificate names it alone, and the
    server drops it.
    """
    contexts = keeper_of(site, "entry-1")
    refuse(site, contexts, "entry-2", events, "reason=wrong_certificate")


def test_a_server_cannot_pass_for_another_host(site: Path):
    async def test(streams: Streams) -> None:
        answer = await streams.ask(streams.caller("entry-1", keeper_of(site, "entry-1")))
        assert isinstance(answer, Err)
        assert streams.caller_counters.dropped_by_reason == {DropReason.WRONG_CERTIFICATE: 1}

    # The server calls itself `server`, and shows the certificate of entry-2.
    with_streams(keeper_of(site, "entry-2"), test)


def test_a_peer_whose_certificate_expired_is_not_served(site: Path, tmp_path: Path, events):
    """Nobody renewed a host's certificate, and the host went on until its connections broke.

    From then on it reaches nobody, and the hosts that it dials log that it expired.
    """
    old = make_site(tmp_path / "old", "entry-1", at=time.time() - 2 * _YEARS_S)
    both = tmp_path / "both.crt"
    both.write_bytes(b"".join((one / "authorities.crt").read_bytes() for one in (site, old)))
    contexts = keeper_of(old, "entry-1", both)
    refuse(site, contexts, "entry-1", events, 'detail="certificate has expired"', both)
