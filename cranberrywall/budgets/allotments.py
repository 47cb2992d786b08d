"""Allotments of an entry host.

They are apart from the package's other names: control hosts have none, and start sooner without
them.
"""

from cranberrywall.budgets._allotments import make_allotments

__all__ = ["make_allotments"]
