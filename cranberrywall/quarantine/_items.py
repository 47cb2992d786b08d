"""Read what other hosts pass on about targets' ends and requests held back."""

from typing import TypeVar

from cranberrywall.hosts import Item
from cranberrywall.links import MalformedMessageError
from cranberrywall.observability import log_event
from cranberrywall.quarantine.messages import QUARANTINE_CODEC

T = TypeVar("T")


def decode_item(item: Item, expected: type[T]) -> T | None:
    """Return an item's message; ``None`` where the fact is gone, or can't be read."""
    if not item.payload:
        return None
    try:
        message = QUARANTINE_CODEC.decode(item.payload)
    except MalformedMessageError as error:
        # A host of another version may say more than this one understands.
        log_event("WARNING", "quarantine_item_malformed", topic=item.topic, reason=str(error))
        return None
    return message if isinstance(message, expected) else None
