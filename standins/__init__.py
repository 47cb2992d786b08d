"""Stand in for the engines and services that the system routes to."""
