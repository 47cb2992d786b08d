"""Serve the operators' forms."""
