"""Requests at a host that is partitioned from all targets, beside a neighbour that is not."""

import pytest

from tests.forwarding.partitioned import PartitionedPair
from tests.forwarding.scripted import arrival

REQUESTS = 20
MIN_SERVED = 19
"""Number of requests at the partitioned host that must be served: 0.95 of them."""


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_requests_at_a_host_partitioned_from_all_targets_are_served(kind: str) -> None:
    """Guards against refusing callers although a neighbour could connect to the targets."""
    async with PartitionedPair(kind=kind) as pair:
        await pair.start_targets()
        pair.partition()
        served = 0
        for number in range(REQUESTS):
            reply, result = await pair.partitioned.serve(arrival(request_id=f"id-{number}"))
            served += result.is_ok() and reply.status == 200
        assert served >= MIN_SERVED
        assert len(pair.neighbour.received) == served
