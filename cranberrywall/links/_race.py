"""Runs the tasks of one connection until the first of them ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any


async def run_until_first(*work: Coroutine[Any, Any, None]) -> None:
    """Run all until one ends, cancel the others, and raise the exception of the first."""
    tasks = [asyncio.ensure_future(one) for one in work]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()
