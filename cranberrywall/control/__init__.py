"""Assemble the control program, and call it from the other programs."""

from cranberrywall.control._client import ControlClient, MembersClient, make_control_client
from cranberrywall.control._contacts import ControlContacts, GroupJoiner
from cranberrywall.control._enrolment import Enrolments
from cranberrywall.control._placement import ledger_group, ledger_groups
from cranberrywall.control._program import ControlHost, make_control_host
from cranberrywall.control._storage_watch import EXIT_RESTART, StorageMonitor
from cranberrywall.control._tellers import NOTIFIERS_PER_HOST, NotifierAssignment
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
    "PROPOSE",
    "QUERY",
    "NOTIFIERS_PER_HOST",
    "ChangeMemberReply",
    "ChangeMemberRequest",
    "ControlClient",
    "ControlContacts",
    "ControlHost",
    "GroupJoiner",
    "EnrolledHost",
    "Enrolments",
    "MembersClient",
    "MembersReply",
    "ProposeReply",
    "ProposeRequest",
    "QueryReply",
    "QueryRequest",
    "StorageMonitor",
    "NotifierAssignment",
    "ledger_group",
    "ledger_groups",
    "make_control_client",
    "make_control_host",
]
