"""Put whole documents in force by the operators' own numbers."""

import json
from typing import Any

from result import Ok

from cranberrywall.configuration import ConfigurationClient, make_configuration_machine
from cranberrywall.configuration._client import GROUP
from cranberrywall.configuration.messages import (
    CONFIGURATION_CODEC,
    GetPublished,
    Published,
    PublishedSource,
    PublishNumbered,
)
from measurements.confirmed_changes import with_routes
from tests.configuration.documents import make_document
from tests.fakes.groups import make_control_client


def publish(machine: Any, number: int, region: str) -> Published:
    document = make_document()
    document["places"]["town-hall"]["region"] = region
    command = PublishNumbered(number, document, f"source of {number}".encode(), 1.0)
    answer = CONFIGURATION_CODEC.decode(machine.apply(CONFIGURATION_CODEC.encode(command)))
    assert isinstance(answer, Published)
    return answer


def held(machine: Any) -> PublishedSource:
    answer = CONFIGURATION_CODEC.decode(machine.query(CONFIGURATION_CODEC.encode(GetPublished())))
    assert isinstance(answer, PublishedSource)
    return answer


def region(machine: Any) -> str:
    newest = machine.document_at()
    return str(newest.document["places"]["town-hall"]["region"])


def test_the_highest_number_is_in_force_in_whichever_order_they_come() -> None:
    """Two operators send documents at once, and an older one comes again, late.

    None of them is refused, and none but the highest is in force.
    """
    machine = make_configuration_machine()
    assert publish(machine, 5, "five") == Published(5, 1)
    assert publish(machine, 3, "three") == Published(5, 1)
    assert publish(machine, 9, "nine") == Published(9, 2)
    assert publish(machine, 5, "five") == Published(9, 2)
    assert (region(machine), held(machine)) == ("nine", PublishedSource(9, b"source of 9"))


def test_other_content_under_the_number_held_changes_nothing() -> None:
    machine = make_configuration_machine()
    publish(machine, 5, "five")
    assert publish(machine, 5, "other") == Published(5, 1)
    assert (region(machine), held(machine).source) == ("five", b"source of 5")


def test_a_number_above_with_the_same_content_is_given_back_as_sent() -> None:
    machine = make_configuration_machine()
    publish(machine, 5, "same")
    assert publish(machine, 6, "same") == Published(6, 1)
    assert held(machine).number == 6


def test_numbers_and_sources_last_through_a_snapshot() -> None:
    machine = make_configuration_machine()
    publish(machine, 5, "five")
    again = make_configuration_machine()
    again.restore(machine.snapshot())
    assert held(again) == PublishedSource(5, b"source of 5")
    assert publish(again, 4, "four") == Published(5, 1)


def test_nothing_is_held_before_the_first() -> None:
    assert held(make_configuration_machine()) == PublishedSource(0, b"")


LEADER_BYTES_PER_S = 170e6 / 8
FOLLOWERS = 8
STORM_GAP_S = 0.33
LINE_SHARE = 0.5
"""Share of a leader's line that a storm of changes may fill: heartbeats and answers use it too."""


async def test_a_storm_of_large_documents_leaves_room_on_the_leaders_line() -> None:
    """Operators send a large document three times a second, each with a small change.

    Control hosts get them later and later, and leaders are lost. Cause: each change goes to all
    followers as the whole document, twice, as it was sent and as it was understood. Proved by the
    bytes of the log's entries.
    """
    control = make_control_client({GROUP: make_configuration_machine})
    client = ConfigurationClient(control, timeout=1.0)
    for number in (1, 2):
        document = with_routes(1400)
        document["places"]["town-hall"]["region"] = f"region-{number}"
        source = json.dumps(document).encode()
        assert await client.publish(number, document, source, 1.0) == Ok(Published(number, number))
    entry = control.group_by_name[GROUP].commands[-1]
    assert len(entry) * FOLLOWERS <= LINE_SHARE * STORM_GAP_S * LEADER_BYTES_PER_S
    assert (await client.published()).unwrap() == PublishedSource(2, source)
