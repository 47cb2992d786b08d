"""Run a program's service until a signal, and say plainly where it could not start."""

import sys

import aiomisc
import click
import uvloop

EXIT_NOT_STARTED = 1
SHUTDOWN_S = 60.0


def run_until_signal(service: aiomisc.Service, shutdown_timeout: float = SHUTDOWN_S) -> None:
    """Run ``service`` until SIGTERM or SIGINT; exit 1 where an address cannot be bound.

    ``shutdown_timeout`` is how long it may take to stop, in seconds.
    """
    entrypoint = aiomisc.entrypoint(
        service,
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=shutdown_timeout,
    )
    try:
        with entrypoint as loop:
            loop.run_forever()
    except OSError as error:
        remedy = "end the process that has it, or give another address under `listen`"
        click.echo(f"not started: {error} (remedy: {remedy})", err=True)
        sys.exit(EXIT_NOT_STARTED)
