"""Measure the system, one module a measurement."""
