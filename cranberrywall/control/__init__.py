"""Control hosts: their replicated groups, the clients of these, and the enrolment of hosts."""

from cranberrywall.control._client import ControlClient, MembersClient, make_control_client
from cranberrywall.control._contacts import ControlContacts, GroupJoiner
from cranberrywall.control._enrolment import Enrolments
from cranberrywall.control._notifiers import NOTIFIERS_PER_HOST, NotifierAssignment
from cranberrywall.control._placement import ledger_group, ledger_groups
from cranberrywall.control._program import ControlHost, make_control_host
from cranberrywall.control._relaying import RelayedClient
from cranberrywall.control._storage_monitor import EXIT_RESTART, StorageMonitor
from cranberrywall.control.messages import (
    PROPOSE,
    QUERY,
    ChangeMemberReply,
    ChangeMemberRequest,
    EnrolledHost,
    MembersReply,
    ProposeReply,
    ProposeRequest,
    QueryReply,
    QueryRequest,
)

__all__ = [
    "EXIT_RESTART",
    "NOTIFIERS_PER_HOST",
    "PROPOSE",
    "QUERY",
    "ChangeMemberReply",
    "ChangeMemberRequest",
    "ControlClient",
    "ControlContacts",
    "ControlHost",
    "EnrolledHost",
    "Enrolments",
    "GroupJoiner",
    "MembersClient",
    "MembersReply",
    "NotifierAssignment",
    "ProposeReply",
    "ProposeRequest",
    "QueryReply",
    "QueryRequest",
    "RelayedClient",
    "StorageMonitor",
    "ledger_group",
    "ledger_groups",
    "make_control_client",
    "make_control_host",
]
