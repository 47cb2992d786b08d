"""Run a stand-in service: ``python -m standins.service --help``."""

import click

from standins._command import announce_options, run_until_signal, standin_options
from standins._faults import Faults
from standins._service import ServiceOptions, make_service


@click.command()
@click.option("--target", default="service-1", help="The target's name.")
@click.option("--service", default="deposit-ledger-api", help="The service it is.")
@click.option("--capacity", default=16, help="Executions at once.")
@click.option("--work-s", default=0.005, help="Seconds of one execution.")
@standin_options
def main(
    target: str,
    service: str,
    place: str,
    host: str,
    port: int,
    entries: tuple[str, ...],
    key: str,
    capacity: int,
    work_s: float,
    faults: Faults,
    seed: int,
) -> None:
    """Answer any call, and count the executions by request id at /counts."""
    options = ServiceOptions(
        target=target,
        service=service,
        place=place,
        capacity=capacity,
        work_s=work_s,
        seed=seed,
        faults=faults,
    )
    run_until_signal(make_service(options), host, port, announce_options(entries, key))


if __name__ == "__main__":
    main()
