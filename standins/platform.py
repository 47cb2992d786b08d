"""Show the programs at work on a stand-in of the users' platform, on loopback.

    python -m standins.platform --seconds 10

Three control hosts and two entry hosts run as processes of their own; one of each is killed on
the way, one ledger turns calls away for a while and asks for a backoff, and at the end the engines
are in need and take two letters a second each. What is printed is what callers see.
"""

import argparse
import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from standins._platform import Platform, Worker

PREPAID = 1_000_000
PAUSE_S = 0.02
SHEDS_BETWEEN = (0.2, 0.5)
NEED_AFTER = 0.8
IN_NEED = "2"
PATHS = ("/letters/1", "/checks/1", "/orders/1")


async def show(seconds: float, folder: Path) -> Counter[str]:
    """Run the platform for a while, and return what callers got, by path and status."""
    platform = Platform(folder)
    try:
        await platform.start()
        await platform.publish(1, PREPAID)
        for worker in (
            Worker("i-engine-1", "engines", is_engine=True),
            Worker("i-engine-2", "engines", is_engine=True),
            Worker("i-ledger-1", "ledger", is_engine=False),
            Worker("i-ledger-2", "ledger", is_engine=False),
        ):
            await platform.add_worker(worker)
        await platform.until_ready()
        for path in PATHS:
            await platform.until_answered(platform.fronts[0], path, X_Token_Counts="100,24")
        return await _call_for(platform, seconds)
    finally:
        await platform.stop()


async def _call_for(platform: Platform, seconds: float) -> Counter[str]:
    seen: Counter[str] = Counter()
    started_at = time.monotonic()
    troubles = [
        (seconds * 0.3, platform.cores[0]),
        (seconds * 0.6, platform.fronts[1]),
    ]
    sheds = next(worker for worker in platform.workers if not worker.is_engine)
    turn = 0
    while time.monotonic() - started_at < seconds:
        if troubles and time.monotonic() - started_at > troubles[0][0]:
            _, machine = troubles.pop(0)
            print(f"{machine.name} is killed, and starts again")
            await platform.kill(machine)
            await platform.start_machine(machine)
        begins, ends = (share * seconds for share in SHEDS_BETWEEN)
        is_shedding = begins <= time.monotonic() - started_at < ends
        if is_shedding and not sheds.sheds:
            print(f"{sheds.name} turns calls away and asks for a backoff of {sheds.backoff_s:g} s")
        sheds.sheds = is_shedding
        if time.monotonic() - started_at > seconds * NEED_AFTER and not platform.workers[0].limit:
            print(f"the engines take {IN_NEED} letters a second each from now on")
            for worker in platform.workers:
                worker.limit = IN_NEED if worker.is_engine else None
        turn += 1
        path = PATHS[turn % len(PATHS)]
        front = platform.fronts[turn % len(platform.fronts)]
        try:
            answer = await platform.ask(front, path, X_Token_Counts="100,24")
            seen[f"{path} {answer.status}"] += 1
        except (aiohttp.ClientError, TimeoutError):
            seen[f"{path} no answer"] += 1
        await asyncio.sleep(PAUSE_S)
    return seen


def main() -> None:
    """Parse the options and print what callers got."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        seen = asyncio.run(show(options.seconds, Path(folder)))
    for name, count in sorted(seen.items()):
        print(f"{name}: {count}")


if __name__ == "__main__":
    main()
