"""What a process runs."""

from typing import Protocol

from cranberrywall.observability import StateRegistry


class Program(Protocol):
    """Define what a process does between its start and its end."""

    @property
    def state(self) -> StateRegistry:
        """Return what SIGUSR1 and ``/state`` dump."""
        ...

    async def start(self) -> None:
        """Start serving, or raise ``OSError`` where an address cannot be bound."""
        ...

    async def stop(self) -> None:
        """End the work in good order."""
        ...
