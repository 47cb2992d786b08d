"""Send bounded, seeded load and report what came back."""

from cranberrywall.load._caller import Caller, CallerOptions, make_caller
from cranberrywall.load._outcomes import AnswerCheck, Outcome, OutcomeKind
from cranberrywall.load._plan import PlannedRequest, make_plan
from cranberrywall.load._plot import write_plot
from cranberrywall.load._profile import Profile, Retries, read_profile
from cranberrywall.load._report import Report, make_report
from cranberrywall.load._run import run_load

__all__ = [
    "AnswerCheck",
    "Caller",
    "CallerOptions",
    "Outcome",
    "OutcomeKind",
    "PlannedRequest",
    "Profile",
    "Report",
    "Retries",
    "make_caller",
    "make_plan",
    "make_report",
    "read_profile",
    "run_load",
    "write_plot",
]
