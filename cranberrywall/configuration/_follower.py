"""Keep an entry host's configuration up to date, and find the newest before it serves."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from result import Err

from cranberrywall.configuration._feed import Feed, Heard
from cranberrywall.configuration._fetching import Fetched, Fetching, Source
from cranberrywall.configuration._host import Applied, HostConfiguration
from cranberrywall.configuration._neighbours import Peers, SpreadHost, choose_neighbours
from cranberrywall.configuration.messages import Fetch
from cranberrywall.links import Caller, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock, Random

FIRST_RETRY_S = 0.25
LONGEST_RETRY_S = 4.0
"""A host that nobody hands a newer revision on to asks again after these, in seconds."""

TELL_NEIGHBOURS_FOR_S = 0.0
"""An entry host tells each neighbour once, in seconds: control goes on to tell all."""

JOIN_RETRY_S = 0.25
PEERS_ASKED = 8

CONTROLS_ASKED = 4
PEERS_ASKED_TO_CHECK = 2
CHECKED_BY = 2
"""A check asks so many control hosts and neighbours, and takes so many answers for enough.

One alone may be a control host that is behind itself."""

CHECK_TIMEOUT_S = 0.3
"""Those that are asked in a check have this long, in seconds: requests wait for it."""


class SpreadTimes(NamedTuple):
    """Pace the spread, in seconds.

    Every ``heartbeat`` a host exchanges revisions with one neighbour. Control is asked
    every ``control_poll``, or, in a large fleet, so rarely that all hosts together ask
    ``CONTROL_POLLS_PER_S`` times a second. ``patience`` is how long a host that reaches
    no majority waits at its start before it takes the highest revision it can get.
    """

    heartbeat: float = 1.0
    control_poll: float = 5.0
    patience: float = 30.0


CONTROL_POLLS_PER_S = 4.0


class _Claim(NamedTuple):
    """Hold the revision that a peer told of, and how often it told of a newer one."""

    revision: int
    told: int


def make_follower(
    me: SpreadHost,
    configuration: HostConfiguration,
    peers: Peers,
    controls: Callable[[], Sequence[str]],
    caller: Caller,
    clock: Clock,
    random: Random,
    times: SpreadTimes | None = None,
) -> "Follower":
    """Return the spread's part on an entry host; ``controls`` gives ``links`` addresses."""
    return Follower(
        me, configuration, peers, controls, caller, clock, random, times or SpreadTimes()
    )


class Follower:
    """Fetch each newer revision that is heard of, and pass it on."""

    def __init__(
        self,
        me: SpreadHost,
        configuration: HostConfiguration,
        peers: Peers,
        controls: Callable[[], Sequence[str]],
        caller: Caller,
        clock: Clock,
        random: Random,
        times: SpreadTimes,
    ) -> None:
        self._configuration = configuration
        self._peers = peers
        self._me = me
        self._controls = controls
        self._clock = clock
        self._random = random
        self._times = times
        self._claim_by_links: dict[str, _Claim] = {}
        self._behind_since: float | None = None
        self._observe_in_force: Callable[[float], None] = lambda seconds: None
        self._fetching = Fetching(caller, clock)
        self._behind = asyncio.Event()
        self._turn = 0
        self._feed = Feed(
            me,
            configuration,
            caller,
            clock,
            self._neighbours,
            TELL_NEIGHBOURS_FOR_S,
            self._on_heard,
        )

    def register(self, server: Server) -> None:
        """Answer the spread's calls at ``server``."""
        self._feed.register(server)

    def hear(self, revision: int, links: str) -> None:
        """Take in a revision number that travelled with a heartbeat."""
        self._feed.note(Heard(revision, links))

    async def join(self) -> int:
        """Find the newest configuration, and return its revision once it may be served.

        A host whose disk remembers one asks once, and serves by that where nobody answers. Any
        other asks the control hosts and peers until a majority has answered, and takes the
        highest: what it had in force before a restart, some of them have heard of. Call it once,
        before ``run``.
        """
        recalled = await self._configuration.recall()
        if isinstance(recalled, Err):
            log_event("ERROR", "configuration_not_recalled", refusal=recalled.err_value)
        if self._configuration.remembers and self._configuration.revision > 0:
            # A newer one may have been confirmed while this host was down.
            await self.check()
            return self._configuration.revision
        started_at = self._clock.now()
        while not await self._has_newest(self._clock.now() - started_at):
            await self._clock.sleep(JOIN_RETRY_S)
        return self._configuration.revision

    async def run(self) -> None:
        """Follow the configuration and pass it on, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._feed.run())
            tasks.create_task(self._fetch_on_demand())
            tasks.create_task(self._exchange_with_neighbours(tasks))
            tasks.create_task(self._poll_control(tasks))

    async def check(self) -> None:
        """Ask some control hosts and neighbours what is newest, and bring it in force.

        Return once ``CHECKED_BY`` have answered, or all that were asked have or failed to.
        """
        controls = list(self._controls())
        start = self._random.randrange(0, len(controls)) if controls else 0
        asked = [*controls[start:], *controls[:start]][:CONTROLS_ASKED]
        asked += self._neighbours()[:PEERS_ASKED_TO_CHECK]
        answered = 0
        calls = [self._feed.notify(links, CHECK_TIMEOUT_S) for links in asked]
        for answer in asyncio.as_completed(calls):
            answered += await answer
            if answered >= CHECKED_BY:
                break
        await self._catch_up()

    @property
    def has_newest_heard(self) -> bool:
        """Say whether the configuration in force is the newest that was heard of."""
        return 0 < self._configuration.revision >= self._feed.heard

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show the revision in force, and how late each came."""
        metrics.gauge_of(
            "configuration_revision",
            "The revision of the configuration in force.",
            lambda: self._configuration.revision,
        )
        metrics.gauge_of(
            "configuration_behind_seconds",
            "For how long a newer revision is known of that is not in force.",
            self._behind_s,
        )
        in_force = metrics.histogram(
            "configuration_in_force_seconds",
            "Time from control's taking a change in until it is in force here, by two clocks.",
        )
        self._observe_in_force = in_force.labels().observe

    def _behind_s(self) -> float:
        return 0.0 if self._behind_since is None else self._clock.now() - self._behind_since

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "revision": self._configuration.revision,
            "heard": self._feed.heard,
            "behind_s": self._behind_s(),
            "asking": list(self._fetching.asking),
            "remembers": self._configuration.remembers,
            "neighbours": [host.host for host in choose_neighbours(self._me, self._peers.alive())],
        }

    async def _has_newest(self, waited: float) -> bool:
        peers = self._neighbours()[:PEERS_ASKED]
        controls = list(self._controls())
        asked = [*controls, *peers]
        answers = await asyncio.gather(*(self._feed.notify(links) for links in asked))
        from_controls = sum(answers[: len(controls)])
        from_peers = sum(answers[len(controls) :])
        await self._catch_up()
        if self._configuration.revision == 0 or self._configuration.revision < self._feed.heard:
            return False
        # One answer alone may come from a host that is cut off and behind: taking it
        # would put an older revision in force than this host had before its restart.
        if _is_majority(from_controls, controls) or _is_majority(from_peers, peers):
            return True
        if waited < self._times.patience or from_controls + from_peers == 0:
            return False
        log_event(
            "WARNING",
            "configuration_from_few",
            revision=self._configuration.revision,
            controls=from_controls,
            peers=from_peers,
        )
        return True

    def _neighbours(self) -> list[str]:
        return [host.links for host in choose_neighbours(self._me, self._peers.alive())]

    def _on_heard(self, heard: Heard) -> None:
        if heard.revision > self._configuration.revision:
            if self._behind_since is None:
                self._behind_since = self._clock.now()
            # The one that told last moves to the end; it is the likeliest to answer now.
            before = self._claim_by_links.pop(heard.links, None)
            told = before.told + 1 if before else 1
            self._claim_by_links[heard.links] = _Claim(heard.revision, told)
            self._behind.set()

    async def _fetch_on_demand(self) -> None:
        pause_s = FIRST_RETRY_S
        while True:
            await self._behind.wait()
            self._behind.clear()
            await self._catch_up()
            if not self._is_behind():
                pause_s = FIRST_RETRY_S
                continue
            # Nobody who has it answers now. A revision that nobody has any more, as that of a
            # group which was made anew, must not be asked for without end.
            await self._wait_for_news(pause_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)
            self._behind.set()

    async def _wait_for_news(self, longest_s: float) -> None:
        waits = [self._behind.wait(), self._clock.sleep(longest_s)]
        tasks = [asyncio.ensure_future(wait) for wait in waits]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def _is_behind(self) -> bool:
        return self._feed.heard > self._configuration.revision

    async def _catch_up(self) -> None:
        """Fetch until the newest revision that was heard of is in force, or nobody hands it on."""
        whole = False
        passed_over: set[str] = set()
        while self._is_behind():
            fetch = Fetch(self._configuration.revision, whole)
            fetched = await self._fetching.first_useful(
                lambda: [one for one in self._sources() if one.links not in passed_over], fetch
            )
            if fetched is None:
                return
            applied = await self._apply(fetched)
            if applied is Applied.IN_FORCE:
                self._note_in_force(fetched)
            whole = applied in (Applied.GAP, Applied.DIVERGED)
            if applied is Applied.OLD or (whole and fetch.whole):
                passed_over.add(fetched.links)

    def _sources(self) -> list[Source]:
        """Return whom to ask, the best first.

        Those who told of a newer revision go first, the last one before the others, and control
        hosts among them, whose lines are wide. Others may have it as well: whoever told may be
        lost.
        """
        revision = self._configuration.revision
        controls = list(self._controls())
        self._claim_by_links = {
            links: claim
            for links, claim in self._claim_by_links.items()
            if claim.revision > revision
        }
        newest_first = list(reversed(self._claim_by_links))
        claimants = sorted(newest_first, key=lambda links: links not in controls)
        start = self._turn % len(controls) if controls else 0
        others = [*controls[start:], *controls[:start], *self._neighbours()]
        return [
            Source(links, claim.told if (claim := self._claim_by_links.get(links)) else 0)
            for links in dict.fromkeys((*claimants, *others))
        ]

    def _note_in_force(self, fetched: Fetched) -> None:
        """Say when a revision came in force here, from whom, and what was waited for."""
        content, behind_s = fetched.content, self._behind_s()
        self._behind_since = self._clock.now() if self._is_behind() else None
        # By two machines' clocks: what the change's control host said of when it came.
        age_s = self._clock.wall() - content.deltas[-1].revision.at if content.deltas else None
        if age_s is not None:
            self._observe_in_force(max(0.0, age_s))
        log_event(
            "INFO",
            "configuration_in_force",
            revision=self._configuration.revision,
            heard=self._feed.heard,
            source=fetched.links,
            whole=content.snapshot is not None,
            edits=sum(len(delta.edits) for delta in content.deltas),
            bytes=fetched.size,
            fetch_s=fetched.seconds,
            behind_s=behind_s,
            age_s="" if age_s is None else age_s,
        )

    async def _apply(self, fetched: Fetched) -> Applied:
        self._feed.heard = max(self._feed.heard, fetched.heard)
        content = fetched.content
        if content.snapshot is not None:
            return await self._configuration.apply_snapshot(content.snapshot)
        applied = await self._configuration.apply_deltas(content.deltas)
        if applied is Applied.DIVERGED:
            log_event("ERROR", "configuration_diverged", revision=self._configuration.revision)
        return applied

    async def _exchange_with_neighbours(self, tasks: asyncio.TaskGroup) -> None:
        # A neighbour that is silent must not delay the exchange with the next one.
        while True:
            await self._clock.sleep(self._times.heartbeat * self._random.uniform(0.75, 1.25))
            neighbours = self._neighbours()
            if neighbours:
                self._turn += 1
                links = neighbours[self._turn % len(neighbours)]
                tasks.create_task(self._feed.notify(links))

    async def _poll_control(self, tasks: asyncio.TaskGroup) -> None:
        # Neighbours carry nearly every revision. This is for a host whose neighbours are
        # all cut off from control while it is not.
        while True:
            hosts = len(self._peers.alive())
            period = max(self._times.control_poll, hosts / CONTROL_POLLS_PER_S)
            await self._clock.sleep(period * self._random.uniform(0.75, 1.25))
            controls = self._controls()
            if controls:
                links = controls[self._random.randrange(0, len(controls))]
                tasks.create_task(self._feed.notify(links))


def _is_majority(count: int, asked: Sequence[str]) -> bool:
    return count * 2 > len(asked)
