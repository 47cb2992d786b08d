"""Route requests to targets within prepaid token budgets."""

__version__ = "0.1.0"
