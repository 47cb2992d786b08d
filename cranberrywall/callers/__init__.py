"""Answer callers over HTTP: chat completions, plain services and addresses."""
