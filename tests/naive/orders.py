"""Order engines as a simple controller would: on what is announced, without any commit."""

from typing import Any

from cranberrywall.orders import Action, Copy

RESEND_AFTER_S = 10.0


class NaiveController:
    """Send at once whatever the announcements ask for, while this host believes it leads.

    The numbers are the time in milliseconds, so a delayed order carries an old one.
    """

    def __init__(self, process: Any, sight: Any, document: Any, clock: Any, run: Any) -> None:
        self._process = process
        self._sight = sight
        self._document = document
        self._clock = clock
        self._run_beside = run
        self._sent_at: dict[tuple[str, Action], float] = {}

    def register(self, server: Any) -> None:
        return

    async def close(self) -> None:
        return

    async def run(self) -> None:
        while True:
            if self._process.member.is_leader:
                self._act(self._clock.now())
            await self._clock.sleep(1.0)

    def _act(self, now: float) -> None:
        engines = self._sight.engines(now)
        demand = self._sight.demand(now)
        for name, model in self._document()["models"].items():
            new = Copy(name, model["version"])
            wanted = max(model.get("copies", 1), round(demand.get(name, 0.0) / 3))
            have = [engine for engine in engines if new in engine.copies]
            self._load(engines, new, wanted - len(have), now)
            for engine in engines:
                for copy in sorted(engine.copies):
                    is_old = copy.model == name and copy != new and have
                    if is_old or (copy == new and engine in have[wanted:]):
                        self._send(engine, Action("unload", *copy), now)

    def _load(self, engines: Any, copy: Copy, count: int, now: float) -> None:
        for engine in engines:
            if count > 0 and copy not in engine.copies and len(engine.copies) < engine.slots:
                self._send(engine, Action("load", *copy), now)
                count -= 1
        if count > 0:
            self._make_room(engines, copy, now)

    def _make_room(self, engines: Any, wanted: Copy, now: float) -> None:
        """Take a slot from the model that is asked for least."""
        demand = self._sight.demand(now)
        held = [
            (demand.get(copy.model, 0.0), engine.target, engine, copy)
            for engine in engines
            for copy in sorted(engine.copies)
            if copy.model != wanted.model and wanted not in engine.copies
        ]
        if held:
            _, _, engine, copy = min(held, key=lambda entry: entry[:2])
            self._send(engine, Action("unload", *copy), now)

    def _send(self, engine: Any, action: Action, now: float) -> None:
        key = (engine.target, action)
        if now - self._sent_at.get(key, -RESEND_AFTER_S) < RESEND_AFTER_S:
            return
        self._sent_at[key] = now
        number = int(now * 1000)
        self._run_beside(self._process.sender.send(engine.url, number, action, 60.0))
