"""Operate a fleet from the command line."""

from cranberrywall.commands.ctl._main import main

__all__ = ["main"]
