"""Kinds of errors, and the answer that callers receive for each kind."""

from cranberrywall.errors._kinds import ErrorKind, Ran
from cranberrywall.errors._reference import render_reference
from cranberrywall.errors._refusal import Refusal
from cranberrywall.errors._table import TABLE, Answer, answer_for

__all__ = ["TABLE", "Answer", "ErrorKind", "Ran", "Refusal", "answer_for", "render_reference"]
