"""Keep the first answer to each change id, so that a resent change gets it again."""

from typing import NamedTuple

from cranberrywall.configuration.messages import Changed, ChangeRefused, Revision

ACCEPTED_LIMIT = 65_536
"""Accepted changes whose answers are kept: more than four days at 14,000 a day.

A change resent later than that cannot be applied twice either: its own first application
moved its sections past the revision it was based on, so it gets a conflict.
"""

REFUSED_LIMIT = 256
"""Refused changes whose answers are kept; such a change left nothing behind."""


class FirstAnswer(NamedTuple):
    """Pair an answer with the digest of the change that got it."""

    digest: int
    answer: Changed | ChangeRefused


class AnswersState(NamedTuple):
    """List change ids with digests and answers, oldest first."""

    accepted: tuple[tuple[str, int, Revision], ...] = ()
    refused: tuple[tuple[str, int, ChangeRefused], ...] = ()


class Answers:
    """Keep answers in the order in which they were given, and forget the oldest."""

    def __init__(self, state: AnswersState | None = None) -> None:
        state = state or AnswersState()
        self._accepted = {
            change_id: FirstAnswer(digest, Changed(revision))
            for change_id, digest, revision in state.accepted
        }
        self._refused = {
            change_id: FirstAnswer(digest, refusal) for change_id, digest, refusal in state.refused
        }

    def first(self, change_id: str) -> FirstAnswer | None:
        """Return the first answer to ``change_id``, if it is still kept."""
        return self._accepted.get(change_id) or self._refused.get(change_id)

    def keep(self, change_id: str, digest: int, answer: Changed | ChangeRefused) -> None:
        """Keep an answer; the oldest of its sort goes where there are too many."""
        if isinstance(answer, Changed):
            kept, limit = self._accepted, ACCEPTED_LIMIT
        else:
            kept, limit = self._refused, REFUSED_LIMIT
        kept[change_id] = FirstAnswer(digest, answer)
        if len(kept) > limit:
            del kept[next(iter(kept))]

    def state(self) -> AnswersState:
        """Return what a snapshot keeps."""
        accepted = [
            (change_id, first.digest, first.answer.revision)
            for change_id, first in self._accepted.items()
            if isinstance(first.answer, Changed)
        ]
        refused = [
            (change_id, first.digest, first.answer)
            for change_id, first in self._refused.items()
            if isinstance(first.answer, ChangeRefused)
        ]
        return AnswersState(tuple(accepted), tuple(refused))
