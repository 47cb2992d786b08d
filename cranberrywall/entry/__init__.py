"""Assemble the entry program."""
