"""Know whether the ledger hears a holder, and what the holder may do while it does not."""

from collections import deque

from cranberrywall.budgets._announced import AnnouncedKeepers
from cranberrywall.budgets._keepers import Keeper
from cranberrywall.budgets._pending import Pending
from cranberrywall.budgets._silence import Silence
from cranberrywall.budgets.messages import Contact
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock


class Reach:
    """Hold one holder's contact with one ledger group.

    ``in_reach`` says whether the ledger answered last.
    """

    def __init__(self, group: str, keeper: Keeper, clock: Clock, detach_after_s: float) -> None:
        """``detach_after_s`` is the silence towards the ledger before anything is kept."""
        self._group = group
        self.in_reach = True
        self._lost_at = float("-inf")
        self._silence = Silence(detach_after_s, clock.now())
        self._announced = AnnouncedKeepers()
        self._keeper = keeper
        self._clock = clock

    @property
    def may_keep(self) -> bool:
        """Say whether charges and transfers may be kept elsewhere than at the ledger now."""
        return not self.in_reach and self.may_give_unseen

    @property
    def may_give_unseen(self) -> bool:
        """Say whether a transfer that the ledger has not got may go to its taker.

        Not before the holder counts as cut off: the ledger would free what is given, should this
        host be lost, while the taker spends it.
        """
        return self.until_cut_off_s() <= 0.0

    def may_keep_at(self, host: str) -> bool:
        """Say whether charges and transfers may be kept at a peer."""
        return self._announced.allows(host)

    def keepers(self) -> list[str]:
        """Name the runs that the ledger knows as keepers, for the state dump."""
        return self._announced.state()

    def out_of_reach_s(self, now: float) -> float:
        """Return for how long the ledger has been out of reach, in seconds; 0 while it is not."""
        return 0.0 if self.in_reach else now - self._lost_at

    def until_cut_off_s(self) -> float:
        """Return the seconds until the holder counts as cut off; 0 or less once it does."""
        return self._silence.left_s(self._clock.now())

    def was_silent(self, seconds: float) -> bool:
        """Say whether the ledger was last told anything so long ago."""
        return self._silence.since(self._clock.now()) >= seconds

    def lose(self) -> None:
        """Note that the ledger is out of reach."""
        self.in_reach = False
        self._lost_at = self._clock.now()

    def find(self) -> None:
        """Note that the ledger is in reach again."""
        self.in_reach = True

    def contact(self, has_kept: bool) -> Contact:
        """Return how the ledger is reached by a command that goes out now, and remember it.

        ``has_kept`` says that charges or transfers may be kept that the ledger has not got.
        """
        now = self._clock.now()
        if has_kept or not self.in_reach:
            return Contact(now, is_detached=True)
        self._silence.note_heard(now)
        chosen = self._keeper.choose(now)
        named = None if chosen is None else self._announced.announce(chosen, now)
        return Contact(now, is_detached=False, keepers=named)

    def note_answered(self, contact: Contact) -> None:
        """Note that the ledger has answered a command with this contact."""
        if self._announced.confirm(contact):
            keepers = ",".join(self._announced.state())
            log_event("INFO", "keepers_named", group=self._group, keepers=keepers)

    def has_new_keepers(self) -> bool:
        """Say whether others should keep from now on than the ledger knows of."""
        chosen = self._keeper.choose(self._clock.now())
        return chosen is not None and not self._announced.are(chosen)

    def take_graced(self, waiting: deque[Pending]) -> list[Pending]:
        """Take out the charges that may be kept before the holder counts as cut off."""
        return self._silence.take_graced(waiting)

    def forget_spent(self) -> None:
        """Forget what was spent of the graces: the ledger has answered for all of it."""
        self._silence.forget_spent()
