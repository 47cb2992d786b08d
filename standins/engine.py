"""Run a stand-in engine: ``python -m standins.engine --help``."""

import click

from standins._command import announce_options, run_until_signal, standin_options
from standins._engine import EngineOptions, make_engine
from standins._faults import Faults


@click.command()
@click.option("--target", default="engine-1", help="The target's name.")
@click.option("--model", default="drafting-llm", help="The model it serves.")
@click.option("--version", "versions", multiple=True, default=["2026-10"], help="Loaded version.")
@click.option("--models", default="", help="Models that it can load by order, as one,other.")
@click.option("--slots", default=0, help="Versions held at once; 0 for any, not announced.")
@click.option("--load-s", default=0.5, help="Seconds that a load takes.")
@click.option("--capacity", default=8, help="Attempts in one batch.")
@click.option("--step-s", default=0.004, help="Seconds of one step of the batch.")
@click.option("--cache-blocks", default=512, help="Blocks in the prefix cache.")
@click.option("--ends-on", default="", help="A prompt with this text ends the engine.")
@click.option("--checks-fencing/--ignores-fencing", default=True, help="Refuse old orders.")
@standin_options
def main(
    target: str,
    model: str,
    versions: tuple[str, ...],
    models: str,
    slots: int,
    load_s: float,
    place: str,
    host: str,
    port: int,
    entries: tuple[str, ...],
    key: str,
    capacity: int,
    step_s: float,
    cache_blocks: int,
    ends_on: str,
    checks_fencing: bool,
    faults: Faults,
    seed: int,
) -> None:
    """Serve OpenAI-compatible chat completions with answers worked out from the prompt."""
    options = EngineOptions(
        target=target,
        model=model,
        place=place,
        versions=tuple(versions),
        models=tuple(filter(None, models.split(","))),
        slots=slots,
        load_s=load_s,
        capacity=capacity,
        step_s=step_s,
        cache_blocks=cache_blocks,
        ends_on=ends_on,
        checks_fencing=checks_fencing,
        seed=seed,
        faults=faults,
    )
    run_until_signal(make_engine(options), host, port, announce_options(entries, key))


if __name__ == "__main__":
    main()
