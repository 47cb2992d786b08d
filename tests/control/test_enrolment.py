"""Discovery of control and entry hosts from a few seed addresses."""

import random
from typing import Any

from result import Err, Ok, Result

from cranberrywall.control import ControlContacts, EnrolledHost, Enrolments
from cranberrywall.control._enrolment import MAX_ENTRIES_PER_REPLY
from cranberrywall.control.messages import EnrolReply, EnrolRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from tests.fakes.clock import VirtualClock, run_virtual

ENTRY = EnrolledHost("entry-1", "kranj", "10.0.1.1:7000", "10.0.1.1:80", 5, False)
CONTROL = EnrolledHost("control-4", "kranj", "10.0.0.4:7000", "", 5, True)
PEER = Peer("entry-1", "kranj", 5)


class ScriptedControlHosts:
    """Caller whose calls get a reply at some addresses and fail at all others."""

    def __init__(self) -> None:
        self.reply_by_address: dict[str, EnrolReply] = {}
        self.called: list[str] = []

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        self.called.append(address)
        reply = self.reply_by_address.get(address)
        return Ok(reply) if reply else Err(Refusal(ErrorKind.UNREACHABLE))


def make_enrolments(clock: VirtualClock) -> Enrolments:
    return Enrolments(lambda: ["10.0.0.1:7000"], lambda: 7, clock, random.Random(1))


def test_a_control_host_returns_members_and_enrolled_hosts() -> None:
    async def scenario() -> None:
        enrolments = make_enrolments(VirtualClock())
        await enrolments._enrol(EnrolRequest(CONTROL), PEER)
        reply = (await enrolments._enrol(EnrolRequest(ENTRY), PEER)).unwrap()
        assert reply.controls == ("10.0.0.1:7000", "10.0.0.4:7000")
        assert reply.entries == (ENTRY,)
        assert reply.revision == 7

    run_virtual(scenario())


def test_a_reply_takes_as_many_draws_as_it_names_hosts() -> None:
    """Each of hundreds of hosts enrols each second, and a reply took a draw for each of them."""

    class CountingRandom(random.Random):
        draws = 0

        def randrange(self, *args: Any, **options: Any) -> int:
            self.draws += 1
            return super().randrange(*args, **options)

    async def scenario() -> None:
        draws = CountingRandom(1)
        enrolments = Enrolments(list, lambda: 7, VirtualClock(), draws)
        hosts = [ENTRY._replace(host=f"entry-{number:03}") for number in range(200)]
        named = set()
        for host in hosts:
            draws.draws = 0
            reply = (await enrolments._enrol(EnrolRequest(host), PEER)).unwrap()
            assert len(set(reply.entries)) == len(reply.entries) <= MAX_ENTRIES_PER_REPLY
            assert draws.draws <= MAX_ENTRIES_PER_REPLY
            named |= set(reply.entries)
        assert len(named) > 100
        assert enrolments.entries() == hosts

    run_virtual(scenario())


def test_a_late_message_of_an_earlier_incarnation_does_not_restore_its_address() -> None:
    async def scenario() -> None:
        enrolments = make_enrolments(VirtualClock())
        moved = ENTRY._replace(links="10.0.1.9:7000", incarnation=6)
        await enrolments._enrol(EnrolRequest(moved), PEER)
        await enrolments._enrol(EnrolRequest(ENTRY), PEER)
        assert enrolments.entries() == [moved]

    run_virtual(scenario())


def test_a_control_host_without_enrolments_for_a_while_still_returns_recorded_hosts() -> None:
    """A partition between control and all entry hosts must not remove the entry hosts."""

    async def scenario() -> None:
        clock = VirtualClock()
        enrolments = make_enrolments(clock)
        await enrolments._enrol(EnrolRequest(ENTRY), PEER)
        await clock.sleep(120.0)
        assert enrolments.entries() == [ENTRY]
        await clock.sleep(3600.0)
        assert enrolments.entries() == []

    run_virtual(scenario())


def test_a_host_still_enrols_after_all_its_seeds_are_lost() -> None:
    """Other control hosts replace the seeds while this host runs; then the seeds stop."""

    async def scenario() -> None:
        clock, controls = VirtualClock(), ScriptedControlHosts()
        seeds = ("10.0.0.1:7000", "10.0.0.2:7000")
        others = ("10.0.0.4:7000", "10.0.0.5:7000")
        for address in (*seeds, *others):
            controls.reply_by_address[address] = EnrolReply(others, (ENTRY,))
        found: list[EnrolledHost] = []
        own = ENTRY._replace(host="entry-2", links="10.0.1.2:7000")
        contacts = ControlContacts(own, seeds, controls, clock, random.Random(1), found.extend)
        assert await contacts.enrol_once()
        assert found == [ENTRY]
        for address in seeds:
            del controls.reply_by_address[address]
        answered = [await contacts.enrol_once() for _ in range(8)]
        assert any(answered)
        assert contacts.is_recently_seen(clock.now())
        assert list(contacts.addresses()) == [*others, *seeds]

    run_virtual(scenario())


def test_a_host_that_was_not_notified_receives_the_newest_revision_as_it_enrols() -> None:
    """A host reconnects after a partition, when control has stopped notifying it of updates."""

    async def scenario() -> None:
        clock, controls = VirtualClock(), ScriptedControlHosts()
        controls.reply_by_address["10.0.0.1:7000"] = EnrolReply((), (), revision=9)
        received: list[tuple[int, str]] = []
        contacts = ControlContacts(
            ENTRY,
            ["10.0.0.1:7000"],
            controls,
            clock,
            random.Random(1),
            on_revision=lambda revision, control: received.append((revision, control)),
        )
        assert await contacts.enrol_once()
        assert received == [(9, "10.0.0.1:7000")]

    run_virtual(scenario())
