"""Run admitted requests at targets and return their complete answers."""

from cranberrywall.requests._attempts import Attempts
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._chat import ChatBody, bound_chat, parse_chat_body
from cranberrywall.requests._chat_runner import ChatRequest, ChatRunner
from cranberrywall.requests._chat_runs import ChatRuns, RunLimits
from cranberrywall.requests._engine import EngineLimits
from cranberrywall.requests._following import FollowHandler
from cranberrywall.requests._frames import DONE_FRAME, assemble_completion
from cranberrywall.requests._identity import RequestName, fingerprint, name_request
from cranberrywall.requests._intents import IntentLedger, Intents
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._registry import Registry
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests._service_calls import ServiceCalls, ServiceLimits
from cranberrywall.requests._service_client import ServiceAnswer, ServiceClient
from cranberrywall.requests._service_path import is_repeatable, normalize_path
from cranberrywall.requests._service_runner import ServiceRequest, ServiceRunner
from cranberrywall.requests._watching import traits_of_chat
from cranberrywall.requests._witnesses import Witnesses
from cranberrywall.requests.messages import Owner

__all__ = [
    "DONE_FRAME",
    "Attempts",
    "BackgroundTasks",
    "ChatBody",
    "ChatRequest",
    "ChatRunner",
    "ChatRuns",
    "EngineLimits",
    "IntentLedger",
    "Intents",
    "FollowHandler",
    "Registry",
    "RequestMetrics",
    "RequestName",
    "Run",
    "RunLimits",
    "RunState",
    "ServiceAnswer",
    "ServiceCalls",
    "ServiceClient",
    "ServiceLimits",
    "ServiceRequest",
    "ServiceRunner",
    "Witnesses",
    "Owner",
    "assemble_completion",
    "bound_chat",
    "fingerprint",
    "traits_of_chat",
    "is_repeatable",
    "name_request",
    "parse_chat_body",
    "normalize_path",
]
