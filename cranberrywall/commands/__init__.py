"""Start each program from the command line."""
