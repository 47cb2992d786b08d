"""Run the programs on the users' platform: translate its settings, calls, bodies and headers.

Nothing here decides: what a message means is decoded into the project's types, and what comes of
it is up to the other packages.
"""
