"""Find control and entry hosts through a few addresses."""

import random
from typing import Any

from result import Err, Ok, Result

from cranberrywall.control import ControlContacts, EnrolledHost, Enrolments
from cranberrywall.control.messages import EnrolReply, EnrolRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from tests.fakes.clock import VirtualClock, run_virtual

ENTRY = EnrolledHost("entry-1", "kranj", "10.0.1.1:7000", "10.0.1.1:80", 5, False)
CONTROL = EnrolledHost("control-4", "kranj", "10.0.0.4:7000", "", 5, True)
PEER = Peer("entry-1", "kranj", 5)


class Controls:
    """Answer at some addresses."""

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


def test_a_control_host_tells_of_members_and_of_those_that_enrolled() -> None:
    async def story() -> None:
        enrolments = make_enrolments(VirtualClock())
        await enrolments._enrol(EnrolRequest(CONTROL), PEER)
        reply = (await enrolments._enrol(EnrolRequest(ENTRY), PEER)).unwrap()
        assert reply.controls == ("10.0.0.1:7000", "10.0.0.4:7000")
        assert reply.entries == (ENTRY,)
        assert reply.revision == 7

    run_virtual(story())


def test_a_late_message_of_an_earlier_run_does_not_bring_its_address_back() -> None:
    async def story() -> None:
        enrolments = make_enrolments(VirtualClock())
        moved = ENTRY._replace(links="10.0.1.9:7000", incarnation=6)
        await enrolments._enrol(EnrolRequest(moved), PEER)
        await enrolments._enrol(EnrolRequest(ENTRY), PEER)
        assert enrolments.entries() == [moved]

    run_virtual(story())


def test_a_control_host_that_hears_nobody_for_a_while_goes_on_naming_them() -> None:
    """A cut between control and all entry hosts says nothing of the entry hosts."""

    async def story() -> None:
        clock = VirtualClock()
        enrolments = make_enrolments(clock)
        await enrolments._enrol(EnrolRequest(ENTRY), PEER)
        await clock.sleep(120.0)
        assert enrolments.entries() == [ENTRY]
        await clock.sleep(3600.0)
        assert enrolments.entries() == []

    run_virtual(story())


def test_a_host_goes_on_where_all_its_seeds_are_gone() -> None:
    """The seeds are exchanged for other hosts while this one runs, and then end."""

    async def story() -> None:
        clock, controls = VirtualClock(), Controls()
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

    run_virtual(story())


def test_a_host_that_nobody_told_hears_of_the_newest_configuration_as_it_enrols() -> None:
    """A host comes back from a cut. Control has given up telling it of what it missed."""

    async def story() -> None:
        clock, controls = VirtualClock(), Controls()
        controls.reply_by_address["10.0.0.1:7000"] = EnrolReply((), (), revision=9)
        heard: list[tuple[int, str]] = []
        contacts = ControlContacts(
            ENTRY,
            ["10.0.0.1:7000"],
            controls,
            clock,
            random.Random(1),
            on_revision=lambda revision, control: heard.append((revision, control)),
        )
        assert await contacts.enrol_once()
        assert heard == [(9, "10.0.0.1:7000")]

    run_virtual(story())
