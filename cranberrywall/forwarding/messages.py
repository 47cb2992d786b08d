"""Messages by which entry hosts share which version began a stream."""

from typing import NamedTuple

from cranberrywall.links import Method


class StreamOrigin(NamedTuple):
    """Version that began a stream.

    ``request_id`` is the caller's attempt that brought the first event. The record is needed for
    ``lifetime_s`` more seconds.
    """

    request_id: str
    version: str
    lifetime_s: float


class OriginRecorded(NamedTuple):
    """Confirmation that the called host stores the origin."""


class OriginQuery(NamedTuple):
    """Question for the version that began the stream of a caller's attempt."""

    request_id: str


class OriginReply(NamedTuple):
    """Version that began the stream; empty if the called host does not know."""

    version: str


RECORD_ORIGIN = Method("streams.record_origin", StreamOrigin, OriginRecorded)
FIND_ORIGIN = Method("streams.find_origin", OriginQuery, OriginReply)
