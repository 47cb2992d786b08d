"""Finds every stored id, and never treats an evicted id as a new one."""

import pytest

from cranberrywall.budgets._ledger_ids import ChargeIds
from cranberrywall.budgets.ledger import IdLimits


def reload(ids: ChargeIds, limits: IdLimits) -> ChargeIds:
    fresh = ChargeIds(limits)
    fresh.load(ids.dump())
    return fresh


@pytest.mark.parametrize("limits", [IdLimits(3, 2, 20), IdLimits(4, 8, 8), IdLimits(1, 3, 5)])
def test_the_newest_are_found_and_the_floor_covers_what_is_evicted(limits: IdLimits):
    """Ids arrive in the order of their charges, and some were reserved long before others."""
    ids = ChargeIds(limits)
    reserved_at = {number * 7919 % 2**64: float(number - number % 5) for number in range(1, 90)}
    for count, (id_, at) in enumerate(reserved_at.items(), 1):
        ids.add(id_, id_ + 1, at)
        ids.trim()
        if count % 10 == 0:
            ids = reload(ids, limits)
        added = list(reserved_at)[:count]
        found = ids.find_in_segments(added)
        kept = [one for one in added if ids.find_recent(one) or one in found]
        assert kept[-limits.kept :] == added[-limits.kept :]
        assert len(ids) == len(kept) <= limits.kept + limits.per_segment * (limits.merged + 1)
        assert all(found[one] == one + 1 for one in found)
        assert all(reserved_at[one] <= ids.floor for one in set(added) - set(kept))
