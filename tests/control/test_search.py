"""Refusals that a caller gets if no leader answered."""

import random
from typing import Any

import pytest
from result import Err, Ok

from cranberrywall.control import ProposeReply, make_control_client
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import VirtualClock, run_virtual

CONTROLS = ["10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"]


class ScriptedCaller:
    """Caller that returns scripted answers in order, then repeats the last one.

    Each call takes 0.2 s, or ``timeout`` if that is shorter.
    """

    def __init__(self, clock: VirtualClock, *answers) -> None:
        self._clock = clock
        self._answers = list(answers)
        self.addresses: list[str] = []

    async def call(self, address, method, request, timeout):
        self.addresses.append(address)
        await self._clock.sleep(min(timeout, 0.2))
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]


def refused(kind: ErrorKind, message: str = "") -> Err[Refusal]:
    return Err(Refusal(kind, message))


def propose(*answers, timeout: float = 2.0):
    async def main() -> Any:
        clock = VirtualClock()
        caller = ScriptedCaller(clock, *answers)
        client = make_control_client(caller, clock, CONTROLS, random.Random(1))
        return await client.propose("ledger-0", b"draw", timeout), caller.addresses

    return run_virtual(main())


@pytest.mark.parametrize("kind", [ErrorKind.TIMEOUT, ErrorKind.STORAGE_FAILED])
def test_an_attempt_that_may_have_acted_is_not_hidden_by_later_ones(kind: ErrorKind):
    """The leader commits a draw and dies before it answers; then no control host is reachable.

    With the refusal "unreachable", the host would treat the draw as not done and give the next
    draw a new number. No host would then hold the amount of the first draw.
    """
    answer, _ = propose(refused(kind), refused(ErrorKind.UNREACHABLE))
    assert answer.unwrap_err().kind is ErrorKind.TIMEOUT


def test_an_attempt_that_cannot_have_acted_is_reported_as_unreachable():
    answer, addresses = propose(refused(ErrorKind.UNREACHABLE))
    assert answer.unwrap_err().kind is ErrorKind.UNREACHABLE
    assert set(addresses) == set(CONTROLS)


def test_a_refusal_of_the_ledger_itself_is_not_tried_elsewhere():
    answer, addresses = propose(refused(ErrorKind.TOO_LARGE))
    assert (answer.unwrap_err().kind, len(addresses)) == (ErrorKind.TOO_LARGE, 1)


def test_two_hosts_that_name_each_other_do_not_keep_a_caller_for_ever():
    """After a partition two followers each name the other one as the leader."""
    first, second = CONTROLS[:2]
    hints = [refused(ErrorKind.NOT_LEADER, address) for address in (first, second) * 20]
    answer, addresses = propose(*hints, timeout=3.0)
    assert answer.unwrap_err().kind is ErrorKind.UNREACHABLE
    assert len(addresses) < 20


def test_a_hint_is_followed_and_remembered():
    hint = refused(ErrorKind.NOT_LEADER, "10.0.0.9:7100")
    answer, addresses = propose(hint, Ok(ProposeReply(b"granted")))
    assert answer == Ok(b"granted")
    assert addresses[-1] == "10.0.0.9:7100"
