"""Stand-ins for time, network and files, which fail on request."""
