"""Check that a host's configuration only moves forward, in memory and on disk."""

import errno

import pytest

from cranberrywall.configuration import (
    Applied,
    ConfigurationMachine,
    Edit,
    HostConfiguration,
    make_configuration_machine,
    make_host_configuration,
)
from cranberrywall.configuration.messages import Delta, DocumentAt
from cranberrywall.control import ledger_group
from cranberrywall.errors import ErrorKind
from tests.configuration.documents import (
    KEY,
    encode_change,
    make_document,
    place_edit,
    whole_document_edits,
)
from tests.fakes.storage import CrashError, FakeStorage


def make_machine(changes: int) -> ConfigurationMachine:
    machine = make_configuration_machine()
    machine.apply(encode_change(whole_document_edits(make_document()), 0, "first"))
    for number in range(1, changes):
        edits = place_edit("moving", f"region-{number}")
        machine.apply(encode_change(edits, number, f"c{number}"))
    return machine


def deltas_of(machine: ConfigurationMachine, since: int = 0) -> tuple[Delta, ...]:
    deltas = machine.deltas_after(since, 1000)
    assert deltas is not None
    return deltas


def document_of(machine: ConfigurationMachine, revision: int = 0) -> DocumentAt:
    document = machine.document_at(revision)
    assert document is not None
    return document


async def test_an_older_revision_that_comes_late_is_not_applied() -> None:
    """A delta and a snapshot of an older revision arrive after a newer one was in force.

    A peer that was slow or cut off sent them. Applying them would bring back a key that
    was revoked since.
    """
    machine = make_machine(5)
    host = make_host_configuration(None)
    seen: list[int] = []
    host.watch(seen.append)
    assert await host.apply_snapshot(document_of(machine)) is Applied.IN_FORCE
    assert await host.apply_deltas(deltas_of(machine)[:3]) is Applied.OLD
    assert await host.apply_snapshot(document_of(machine, 4)) is Applied.OLD
    assert (host.revision, seen) == (5, [5])


async def test_deltas_with_a_gap_or_of_another_chain_are_not_applied() -> None:
    machine, host = make_machine(5), make_host_configuration(None)
    deltas = deltas_of(machine)
    assert await host.apply_deltas(deltas[1:]) is Applied.GAP
    assert await host.apply_deltas(deltas[:2]) is Applied.IN_FORCE
    other = deltas[2]._replace(chain=deltas[2].chain ^ 1)
    assert await host.apply_deltas([other]) is Applied.DIVERGED
    assert host.revision == 2


async def test_keys_and_ledger_groups_follow_the_document() -> None:
    machine, host = make_machine(1), make_host_configuration(None)
    assert host.workspace_by_key(KEY) is None
    await host.apply_deltas(deltas_of(machine))
    found = host.workspace_by_key(KEY)
    assert found is not None
    assert found.name == "desk"
    assert host.workspace_by_key(KEY + "x") is None
    assert host.ledger_group("desk") == ledger_group("desk", 2)


async def test_a_key_that_passes_to_another_workspace_opens_that_one_only() -> None:
    """A key is taken from one workspace and given to another in one change.

    Whichever edit comes first, the key must open the new one, and a removed one nothing.
    """
    other = make_document()["workspaces"]["desk"] | {"budget": "desk"}
    emptied = make_document()["workspaces"]["desk"] | {"keys": {}}
    edits = (Edit("workspaces", "other", other), Edit("workspaces", "desk", emptied))
    for number, order in enumerate((edits, edits[::-1])):
        machine, host = make_machine(1), make_host_configuration(None)
        machine.apply(encode_change(order, 1, f"pass-{number}"))
        machine.apply(encode_change([Edit("places", "kranj", {"region": "x"})], 2, "p"))
        for delta in deltas_of(machine):
            await host.apply_deltas([delta])
        found = host.workspace_by_key(KEY)
        assert found is not None
        assert found.name == "other"
        machine.apply(encode_change([Edit("workspaces", "other", None)], 3, "gone"))
        await host.apply_deltas(deltas_of(machine))
        assert host.workspace_by_key(KEY) is None


async def recalled(storage: FakeStorage) -> HostConfiguration:
    host = make_host_configuration(storage)
    (await host.recall()).unwrap()
    return host


async def test_a_crash_at_any_write_never_brings_back_a_lower_revision() -> None:
    """A host with a disk crashes at each write or rename while revisions come in.

    Whatever the moment, after the restart it has at least the last revision that was in
    force before the crash, and a document that belongs to its number.
    """
    machine = make_machine(140)
    deltas = deltas_of(machine)
    crash_at = 1
    while True:
        storage = FakeStorage()
        storage.crash_at = crash_at
        host = make_host_configuration(storage)
        try:
            for delta in deltas:
                await host.apply_deltas([delta])
        except CrashError:
            pass
        if not storage.is_crashed:
            break
        storage.restart()
        after = await recalled(storage)
        assert after.revision >= host.revision
        if after.revision:
            assert after.document == document_of(machine, after.revision).document
        crash_at += 7
    assert crash_at > 140


async def test_a_full_disk_does_not_keep_an_old_configuration_in_force() -> None:
    machine, storage = make_machine(6), FakeStorage()
    host = make_host_configuration(storage)
    deltas = deltas_of(machine)
    await host.apply_deltas(deltas[:3])
    storage.error_by_operation[storage.operations + 1] = errno.ENOSPC
    await host.apply_deltas(deltas[3:4])
    assert (host.revision, host.remembers) == (4, False)
    await host.apply_deltas(deltas[4:])
    assert (host.remembers, (await recalled(storage)).revision) == (True, 6)


@pytest.mark.parametrize("name", ["configuration/document", "configuration/deltas"])
async def test_a_damaged_memory_is_refused_and_named(name: str) -> None:
    machine, storage = make_machine(5), FakeStorage()
    host = make_host_configuration(storage)
    for delta in deltas_of(machine):
        await host.apply_deltas([delta])
    storage.flip(name, 20)
    after = make_host_configuration(storage)
    refusal = (await after.recall()).unwrap_err()
    assert (refusal.kind, refusal.field) == (ErrorKind.CORRUPT, name)
    assert (after.revision, after.remembers) == (0, False)
