"""Records: facts that entry hosts found, stored on control hosts, which outlive all of them."""

from cranberrywall.records._client import RecordClient
from cranberrywall.records._store import RecordStore
from cranberrywall.records.messages import Record

__all__ = ["Record", "RecordClient", "RecordStore"]
