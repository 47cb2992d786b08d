"""Compare the configuration group's machine with a naive copy that forgets nothing."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.configuration import ConfigurationMachine, Edit, make_configuration_machine
from cranberrywall.configuration.messages import CONFIGURATION_CODEC, Change, Changed, RollBack
from tests.naive.configuration import NaiveConfiguration

# Hosts name places, so that changes of the two sections can contradict each other.
HOST = {"roles": ["console"], "links": "1.2.3.4:5", "disk": False}
places = st.builds(
    Edit,
    st.just("places"),
    st.sampled_from(["kranj", "domzale"]),
    st.one_of(st.none(), st.fixed_dictionaries({"region": st.sampled_from(["a", "b"])})),
)
hosts = st.builds(
    Edit,
    st.just("hosts"),
    st.just("console-1"),
    st.one_of(st.none(), st.sampled_from(["kranj", "domzale"]).map(lambda p: {**HOST, "place": p})),
)
budgets = st.builds(
    Edit, st.just("budgets"), st.just("desk"), st.sampled_from([None, {"unit": "tokens"}])
)
edits = st.lists(
    st.one_of(places, hosts, budgets), min_size=1, max_size=2, unique_by=lambda e: e[:2]
)
lag = st.integers(0, 3)
change_ids = st.integers(0, 25)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("change"), edits, lag, change_ids),
        st.tuples(st.just("roll_back"), st.integers(0, 12), lag, change_ids),
        st.tuples(st.just("restart")),
    ),
    max_size=25,
)


def apply(machine: ConfigurationMachine, command: Change | RollBack) -> Any:
    answer = CONFIGURATION_CODEC.decode(machine.apply(CONFIGURATION_CODEC.encode(command)))
    return answer.revision.number if isinstance(answer, Changed) else answer.kind


@settings(derandomize=True, max_examples=250, deadline=None)
@given(steps)
def test_every_history_ends_like_that_of_the_naive_copy(steps: list[Any]) -> None:
    """Operators change, race, resend, reuse ids and roll back; the group restarts between.

    Each answer, the document and every kept revision must be those of the naive copy.
    """
    naive, machine = NaiveConfiguration(), make_configuration_machine()
    for step in steps:
        if step[0] == "restart":
            snapshot = machine.snapshot()
            machine = make_configuration_machine()
            machine.restore(snapshot)
            continue
        kind, content, lag, number = step
        based_on, change_id = max(0, machine.revision - lag), f"c{number}"
        if kind == "change":
            command: Any = Change(tuple(content), based_on, change_id, "ana", 1.0)
            expected = naive.change(tuple(content), based_on, change_id)
        else:
            command = RollBack(content, based_on, change_id, "ana", 1.0)
            expected = naive.roll_back(content, based_on, change_id)
        assert apply(machine, command) == expected
    assert machine.revision == len(naive.documents) - 1
    for revision in range(1, machine.revision + 1):
        found = machine.document_at(revision)
        assert found is not None
        assert found.document == naive.documents[revision]
