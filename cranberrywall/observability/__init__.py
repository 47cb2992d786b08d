"""Log events, export metrics and dump state."""
