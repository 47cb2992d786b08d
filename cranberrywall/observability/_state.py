"""Dump the state of a process as JSON, from what its parts give."""

import asyncio
import signal
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from cranberrywall.observability._log import log_event

Provider = Callable[[], object]


class StateRegistry:
    """Hold the providers of state, by the name of their section."""

    def __init__(self) -> None:
        self._provider_by_section: dict[str, Provider] = {}

    def register(self, section: str, provider: Provider) -> None:
        """Let ``provider`` give one section; a second one for a section is an error."""
        if section in self._provider_by_section:
            raise ValueError(f"the section {section} has a provider already")
        self._provider_by_section[section] = provider

    def dump(self) -> dict[str, Any]:
        """Return every section in plain mappings, lists, texts and numbers."""
        return {
            section: self._ask(provider) for section, provider in self._provider_by_section.items()
        }

    def dump_json(self) -> bytes:
        """Return the dump as one line of JSON."""
        return msgspec.json.encode(self.dump())

    def dump_section_json(self, section: str) -> bytes:
        """Return one section as JSON, ``null`` for an unknown one; all where it is empty."""
        if not section:
            return self.dump_json()
        provider = self._provider_by_section.get(section)
        return msgspec.json.encode(None if provider is None else self._ask(provider))

    def _ask(self, provider: Provider) -> Any:
        # One part at fault must not hide the others: the dump is wanted when things fail.
        try:
            return to_plain(provider())
        except Exception as error:
            return {"error": f"{type(error).__name__}: {error}"}


def to_plain(value: object) -> Any:
    """Return ``value`` in what JSON can carry; named tuples become mappings.

    >>> to_plain({1: (2, b"\\x03")})
    {'1': [2, '03']}
    """
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Mapping):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return to_plain(value._asdict())
    if isinstance(value, list | tuple | set | frozenset):
        return [to_plain(item) for item in value]
    return str(value)


def dump_state_on_signal(state: StateRegistry) -> None:
    """Log the state when SIGUSR1 comes; call it in the running event loop."""

    def dump() -> None:
        log_event("INFO", "state_dump", state=state.dump_json().decode())

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, dump)
