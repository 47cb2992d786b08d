"""Choose a target for each request, and queue what must wait."""
