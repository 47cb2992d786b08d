"""Run a stand-in service: ``python -m standins.service --help``."""

import click

from standins._command import KEY_VARIABLE, FaultsParameter, announce_options, run_until_signal
from standins._faults import Faults
from standins._service import ServiceOptions, make_service


@click.command()
@click.option("--target", default="service-1", help="The target's name.")
@click.option("--service", default="deposit-ledger-api", help="The service it is.")
@click.option("--place", default="town-hall", help="The place it stands in.")
@click.option("--host", default="127.0.0.1", help="The address to bind.")
@click.option("--port", default=0, help="The port to bind; 0 takes a free one.")
@click.option("--entry", "entries", multiple=True, help="URL of an entry host to announce to.")
@click.option("--key", envvar=KEY_VARIABLE, default="", help="The fleet's target key.")
@click.option("--capacity", default=16, help="Executions at once.")
@click.option("--work-s", default=0.005, help="Seconds of one execution.")
@click.option("--faults", type=FaultsParameter(), default=Faults(), help="As slow=3,cut=0.1.")
@click.option("--seed", default=1, help="The seed of every draw.")
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
