"""Selection of the hosts that callers should use."""

from collections import Counter

from cranberrywall.callers._addresses import MAX_ADDRESSES, MAX_LOCAL_ADDRESSES, rank_addresses
from cranberrywall.hosts import HostState, HostView


def view(number: int, place: str, load: float = 0.0) -> HostView:
    address = f"127.0.{number // 256}.{number % 256}:80"
    return HostView(f"entry-{number}", place, "", address, 1, HostState.ALIVE, load)


def fleet(size: int, places: int) -> list[HostView]:
    return [view(number, f"place-{number % places}") for number in range(size)]


def test_a_small_fleet_is_listed_completely():
    assert len(rank_addresses(fleet(7, 3), "place-1", "entry-1")) == 7


def test_a_lost_place_leaves_callers_with_hosts_of_others():
    """All hosts of a place lose power, and callers still use their cached list of addresses.

    If all addresses were in that place, the callers could not request other addresses.
    """
    places = [one.place for one in rank_addresses(fleet(1700, 13), "place-1", "entry-1")]
    assert len(places) == MAX_ADDRESSES
    assert places.count("place-1") == MAX_LOCAL_ADDRESSES


def test_a_large_fleet_shares_its_callers():
    """1,700 hosts answer callers, each with 16 addresses.

    If all hosts returned the same addresses, a few hosts would receive every caller.
    """
    hosts = fleet(1700, 13)
    named = Counter(
        address.url for one in hosts for address in rank_addresses(hosts, one.place, one.host)
    )
    assert len(named) > 0.99 * len(hosts)
    assert max(named.values()) < 3 * MAX_ADDRESSES


def test_one_host_more_changes_an_answer_by_one_address_at_most():
    before = {one.url for one in rank_addresses(fleet(400, 4), "place-0", "entry-0")}
    after = {one.url for one in rank_addresses(fleet(401, 4), "place-0", "entry-0")}
    assert len(before - after) <= 1
