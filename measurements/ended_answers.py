"""Measure what callers see of answers whose targets are killed or close their connections early.

    python -m measurements.ended_answers [--row NAME]... [--streams N] [--seed N]

The real programs run as processes on loopback: 3 control hosts, 3 entry hosts and 6 targets. Each
answer has 12 pieces, 30 ms apart. Rows with ``kill`` kill one target each 1.2 s, which is back
after 0.6 s. The others have targets that run on and end a share of their answers early, or entry
hosts that are killed or stopped in turn. Callers read the framing of their answers themselves.
"""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path

import click

from measurements._figures import report_figures
from standins._ended_answers import (
    Row,
    Tally,
    kill_fronts,
    kill_targets,
    play,
    stop_fronts,
)
from standins.ended_target import Behaviour, Ending, Framing

STREAMS = "/letters/1"
IDEMPOTENT = "/checks/1"
AT_MOST_ONCE = "/orders/1"

STREAM = Behaviour(is_stream=True)
PLAIN = Behaviour(is_stream=False)
CHUNKS = Behaviour(is_stream=True, framing=Framing.CHUNKS)
LENGTH = Behaviour(is_stream=True, framing=Framing.LENGTH)

ROWS: dict[str, Row] = {
    "none_kill": Row(STREAM, STREAMS, disturb=kill_targets),
    "none_kill_not_resumable": Row(STREAM, STREAMS, is_resumable=False, disturb=kill_targets),
    "none_kill_plain": Row(PLAIN, IDEMPOTENT, disturb=kill_targets),
    "none_kill_plain_at_most_once": Row(PLAIN, AT_MOST_ONCE, disturb=kill_targets),
    "none_close_between": Row(STREAM._replace(ending=Ending.CLOSE_BETWEEN), STREAMS),
    "none_close_at_byte": Row(STREAM._replace(ending=Ending.CLOSE_AT_BYTE), STREAMS),
    "none_reset_at_byte": Row(STREAM._replace(ending=Ending.RESET_AT_BYTE), STREAMS),
    "none_sound": Row(STREAM, STREAMS),
    "none_sound_not_resumable": Row(STREAM, STREAMS, is_resumable=False),
    "none_sound_plain": Row(PLAIN, IDEMPOTENT),
    "none_sound_plain_at_most_once": Row(PLAIN, AT_MOST_ONCE),
    "chunks_kill": Row(CHUNKS, STREAMS, disturb=kill_targets),
    "chunks_kill_not_resumable": Row(CHUNKS, STREAMS, is_resumable=False, disturb=kill_targets),
    "chunks_close_at_byte": Row(CHUNKS._replace(ending=Ending.CLOSE_AT_BYTE), STREAMS),
    "chunks_reset_at_byte": Row(CHUNKS._replace(ending=Ending.RESET_AT_BYTE), STREAMS),
    "chunks_sound": Row(CHUNKS, STREAMS),
    "chunks_kill_fronts": Row(CHUNKS, STREAMS, disturb=kill_fronts),
    "chunks_stop_fronts": Row(CHUNKS, STREAMS, disturb=stop_fronts),
    "length_kill": Row(LENGTH, STREAMS, disturb=kill_targets),
}


@click.command()
@click.option("--row", "names", multiple=True, type=click.Choice(list(ROWS)))
@click.option("--streams", default=200, help="Answers that are asked for in each row.")
@click.option("--seed", default=1)
@click.option("--logs", type=click.Path(path_type=Path), help="Folder in which logs stay.")
def main(names: Sequence[str], streams: int, seed: int, logs: Path | None) -> None:
    """Print what became of the answers of each row."""
    tallies: list[Tally] = []
    for name in names or list(ROWS):
        with tempfile.TemporaryDirectory() as temporary:
            folder = logs / f"{name}-{seed}" if logs is not None else Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            tally = asyncio.run(play(folder, ROWS[name], streams, seed))
        tallies.append(tally)
        print(f"{name} seed {seed}: {tally}", flush=True)
    report_figures(
        "ended_answers",
        {
            "rows": len(tallies),
            "answers": streams * len(tallies),
            "cuts": sum(one.cuts for one in tallies),
            "stated_complete": sum(one.stated_complete for one in tallies),
            "whole": sum(one.whole for one in tallies),
            "broken_off": sum(one.broken_off for one in tallies),
            "closed_early": sum(one.closed_early for one in tallies),
            "not_served": sum(one.not_served for one in tallies),
            "disordered": sum(one.disordered for one in tallies),
            "largest_median_delay_ms": max(one.delay_ms for one in tallies),
        },
    )


if __name__ == "__main__":
    main()
