"""Decode the gossip items about ends of targets and held requests."""

from typing import TypeVar

from cranberrywall.hosts import Item
from cranberrywall.links import MalformedMessageError
from cranberrywall.observability import log_event
from cranberrywall.quarantine.messages import QUARANTINE_CODEC

T = TypeVar("T")


def decode_item(item: Item, expected: type[T]) -> T | None:
    """Return an item's message; ``None`` if the item was removed or can't be decoded."""
    if not item.payload:
        return None
    try:
        message = QUARANTINE_CODEC.decode(item.payload)
    except MalformedMessageError as error:
        # A host of another version may send a message that this version cannot decode.
        log_event("WARNING", "quarantine_item_malformed", topic=item.topic, reason=str(error))
        return None
    return message if isinstance(message, expected) else None
