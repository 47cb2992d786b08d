"""Name hosts to callers, also from a host that is cut off."""

from cranberrywall.hosts import HostState, HostView
from cranberrywall.platform._directory import MOST_ADDRESSES, choose_addresses


def view(number: int, state: HostState, place: str = "a") -> HostView:
    return HostView(f"h{number:03}", place, "", f"10.0.0.{number}:80", 1, state, 0.0)


def test_hosts_that_leave_or_died_are_not_named() -> None:
    views = [
        view(1, HostState.ALIVE, "b"),
        view(2, HostState.ALIVE),
        view(3, HostState.LEAVING),
        view(4, HostState.DEAD),
    ]
    assert choose_addresses(views, "a") == ["10.0.0.2:80", "10.0.0.1:80"]


def test_a_host_that_hears_nobody_goes_on_naming_all_but_those_that_left() -> None:
    """A host is cut off from all others, while callers reach every one of them.

    Were it to name itself alone, all callers that ask it would come to it.
    """
    views = [view(1, HostState.ALIVE), view(2, HostState.LEAVING)]
    views += [view(number, HostState.DEAD) for number in (3, 4, 5)]
    assert choose_addresses(views, "a") == [f"10.0.0.{number}:80" for number in (1, 3, 4, 5)]


def test_an_answer_is_no_longer_than_callers_read() -> None:
    views = [view(number, HostState.ALIVE) for number in range(100)]
    assert len(choose_addresses(views, "a")) == MOST_ADDRESSES
