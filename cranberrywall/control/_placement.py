"""Assignment of budgets to ledger groups by hash."""

import xxhash


def ledger_group(budget: str, groups: int) -> str:
    """Return the name of the ledger group that stores ``budget``, out of ``groups`` groups.

    >>> ledger_group("clerks", 1)
    'ledger-0'
    """
    return f"ledger-{xxhash.xxh64_intdigest(budget.encode()) % groups}"


def ledger_groups(groups: int) -> tuple[str, ...]:
    """Return the names of all ledger groups, whose number is ``groups``.

    >>> ledger_groups(2)
    ('ledger-0', 'ledger-1')
    """
    return tuple(f"ledger-{index}" for index in range(groups))
