"""Know whether the ledger hears a holder, and for how long it has not."""

from collections.abc import Mapping

from cranberrywall.budgets._announced import AnnouncedKeepers
from cranberrywall.budgets._charge_replication import ChargeReplicator
from cranberrywall.budgets._messages_holders import unreported_share
from cranberrywall.budgets.messages import Contact
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock


class Reach:
    """Hold one holder's contact with one ledger group.

    ``in_reach`` says whether the ledger answered last. ``told_at`` is when the holder last sent it
    what is kept elsewhere, by its steady clock, and ``heard_at`` when it sent what was answered.
    The ledger goes by one of the two: a command or its answer may be lost.
    """

    def __init__(
        self, group: str, keeper: ChargeReplicator, clock: Clock, is_bounded: bool
    ) -> None:
        """``is_bounded`` where what the host spends unseen may be lost with it."""
        self._group = group
        self.in_reach = True
        self.told_at = clock.now()
        self.heard_at = self.told_at
        self._last_unseen_at = float("-inf")
        self._is_bounded = is_bounded
        self._lost_at = float("-inf")
        self._announced = AnnouncedKeepers()
        self._keeper = keeper
        self._clock = clock

    def unreported_share(self, later_s: float = 0.0) -> float:
        """Return the share of its part that the holder may spend unseen, ``later_s`` from now."""
        if not self._is_bounded:
            return 1.0
        return unreported_share(self._clock.now() + later_s - self.told_at)

    def note_unseen(self) -> None:
        """Note that something is spent or given now out of the ledger's sight."""
        self._last_unseen_at = self._clock.now()

    def may_keep_at(self, host: str) -> bool:
        """Say whether charges and transfers may be kept at a peer."""
        return self._announced.allows(host)

    def keepers(self) -> list[str]:
        """Name the runs that the ledger knows as keepers, for the state dump."""
        return self._announced.state()

    def out_of_reach_s(self, now: float) -> float:
        """Return for how long the ledger has been out of reach, in seconds; 0 while it is not."""
        return 0.0 if self.in_reach else now - self._lost_at

    def was_silent(self, seconds: float) -> bool:
        """Say whether the ledger was last told so long ago what is kept elsewhere."""
        return self._clock.now() - self.told_at >= seconds

    def lose(self) -> None:
        """Note that the ledger is out of reach."""
        self.in_reach = False
        self._lost_at = self._clock.now()

    def find(self) -> None:
        """Note that the ledger is in reach again."""
        self.in_reach = True

    def contact(self, unseen: Mapping[str, int]) -> Contact:
        """Return how the ledger is reached by a command that goes out now, and remember it.

        ``unseen`` is what is kept elsewhere of each budget that the ledger has not got.
        """
        now, wall = self._clock.now(), self._clock.wall()
        if not self.in_reach:
            return Contact(now, is_detached=True, wall=wall)
        self.told_at = now
        kept = tuple(sorted(unseen.items()))
        chosen = self._keeper.choose(now)
        named = None if chosen is None else self._announced.announce(chosen, now)
        return Contact(now, is_detached=False, keepers=named, wall=wall, unseen=kept)

    def record_answer(self, contact: Contact) -> None:
        """Note that the ledger has answered a command with this contact."""
        if not contact.is_detached and contact.clock > self._last_unseen_at:
            self.heard_at = max(self.heard_at, contact.clock)
        if self._announced.confirm(contact):
            keepers = ",".join(self._announced.state())
            log_event("INFO", "keepers_named", group=self._group, keepers=keepers)

    def has_new_keepers(self) -> bool:
        """Say whether others should keep from now on than the ledger knows of."""
        chosen = self._keeper.choose(self._clock.now())
        return chosen is not None and not self._announced.are(chosen)
