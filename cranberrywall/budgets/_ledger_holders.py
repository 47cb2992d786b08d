"""Know each host's latest incarnation, and whether it can still spend."""

from typing import Any, NamedTuple

from cranberrywall.budgets.messages import Holder


class HostRecord(NamedTuple):
    """Describe a host's latest incarnation.

    ``delivered`` says that all that older incarnations left has been sent, and
    ``released`` what came back by it. ``dead`` says that an operator confirmed its end.
    ``confirmed`` is the incarnation that was confirmed last, and ``confirmed_released``
    what came back by that.
    """

    incarnation: int
    delivered: bool = False
    released: int = 0
    dead: bool = False
    confirmed: int = -1
    confirmed_released: int = 0


class Holders:
    """Hold one record for each host; older incarnations need none."""

    def __init__(self) -> None:
        self.record_by_host: dict[str, HostRecord] = {}
        self._shared: dict[Holder, Holder] = {}

    def note(self, holder: Holder) -> None:
        """Raise the host's incarnation where the holder's is higher."""
        record = self.record_by_host.get(holder.host)
        if record is None:
            self.record_by_host[holder.host] = HostRecord(holder.incarnation)
        elif holder.incarnation > record.incarnation:
            self.record_by_host[holder.host] = HostRecord(
                holder.incarnation,
                confirmed=record.confirmed,
                confirmed_released=record.confirmed_released,
            )

    def is_current(self, holder: Holder) -> bool:
        """Say whether no later incarnation is known and nobody confirmed its end."""
        record = self.record_by_host.get(holder.host)
        if record is None:
            return True
        return holder.incarnation > record.incarnation or (
            holder.incarnation == record.incarnation and not record.dead
        )

    def update(self, host: str, record: HostRecord) -> None:
        """Replace a host's record."""
        self.record_by_host[host] = record

    def one(self, holder: Holder) -> Holder:
        """Return the one shared copy of an equal holder, to save memory in allotments."""
        return self._shared.setdefault(holder, holder)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [[host, *record] for host, record in self.record_by_host.items()]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self.record_by_host = {host: HostRecord(*record) for host, *record in plain}
        self._shared = {}
