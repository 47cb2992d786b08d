"""Tell a target that ended from one whose connections broke."""

from cranberrywall.quarantine import RunEnd
from cranberrywall.quarantine._endings import Word
from tests.quarantine.scene import Scene, in_scene


def test_a_target_that_takes_no_connection_after_a_loss_has_ended() -> None:
    """Two answers break off at once, and the address refuses connections.

    Both requests were under way; a third one was answered whole just before, and was not.
    """

    async def story(scene: Scene) -> None:
        first, second, whole = (scene.run(name, "a") for name in ("r-1", "r-2", "r-3"))
        scene.finish(whole, RunEnd.WHOLE, 1)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(first, RunEnd.BROKEN, 1)
        scene.finish(second, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.01)
        [(ending, under_way)] = scene.ended
        assert (ending.start.target, ending.word) == ("a", Word.REFUSED)
        assert under_way == ["r-1", "r-2"]
        assert len(scene.network.dialled) == 1

    in_scene(story)


def test_a_target_that_breaks_an_answer_off_and_lives_on_has_not_ended() -> None:
    """An answer is spoilt or a connection reset; the address goes on to take connections."""

    async def story(scene: Scene) -> None:
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []
        assert len(scene.network.dialled) == 4

    in_scene(story)


def test_a_silent_address_proves_nothing() -> None:
    """A cut between this host and the target looks like a target that says nothing."""

    async def story(scene: Scene) -> None:
        scene.network.silent.add("10.0.0.1:1")
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []

    in_scene(story)


def test_a_target_that_is_back_before_anyone_looks_is_found_by_its_next_start() -> None:
    """A target ends and its platform has it back at once, at the same address.

    It takes connections, so only its announcement, under another id or as a later start, tells.
    """

    async def story(scene: Scene) -> None:
        scene.announce("b", 2)
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        scene.finish(scene.run("r-2", "b"), RunEnd.BROKEN, 2)
        await scene.clock.sleep(4.0)
        scene.announce("a", 1, incarnation=2)
        scene.announce("c", 2)
        assert [(e.start.target, e.word, runs) for e, runs in scene.ended] == [
            ("a", Word.RESTARTED, ["r-1"]),
            ("b", Word.RESTARTED, ["r-2"]),
        ]

    in_scene(story)


def test_a_target_that_left_in_order_has_not_ended_under_its_last_requests() -> None:
    """A target says that it leaves, goes on a while, and cuts what is not done by then."""

    async def story(scene: Scene) -> None:
        run = scene.run("r-1", "a")
        scene.announce("a", 1, counter=2, leaving=True)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(run, RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []

    in_scene(story)


def test_a_broken_answer_of_before_is_not_held_against_a_request_when_its_target_ends() -> None:
    """An answer is broken off by a target that lives on. Seconds later the target does end.

    Only the later request was under way then.
    """

    async def story(scene: Scene) -> None:
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(3.0)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        assert [runs for _, runs in scene.ended] == [["r-2"]]

    in_scene(story)


def test_a_request_whose_caller_left_just_before_was_under_way() -> None:
    """The caller gives up, and the target ends a moment later: it may have been at it still."""

    async def story(scene: Scene) -> None:
        early, late, broken = (scene.run(name, "a") for name in ("r-1", "r-2", "r-3"))
        scene.finish(early, RunEnd.GIVEN_UP, 1)
        await scene.clock.sleep(5.0)
        scene.finish(late, RunEnd.GIVEN_UP, 1)
        await scene.clock.sleep(0.3)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(broken, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        assert [runs for _, runs in scene.ended] == [["r-2", "r-3"]]

    in_scene(story)


def test_what_is_remembered_of_unanswered_runs_is_bounded() -> None:
    """A target that is silent for hours leaves thousands of runs that were given up."""

    async def story(scene: Scene) -> None:
        for number in range(5000):
            scene.finish(scene.run(f"r-{number}", "a"), RunEnd.GIVEN_UP, 1)
        assert len(scene.tracker.runs._unanswered) == 4096
        await scene.clock.sleep(20.0)
        scene.finish(scene.run("r-last", "a"), RunEnd.WHOLE, 1)
        assert len(scene.tracker.runs._unanswered) == 0
        assert not scene.tracker.runs._by_incarnation

    in_scene(story)


def test_a_target_that_refuses_connections_and_goes_on_with_its_requests_has_not_ended() -> None:
    """A target has all the connections that it takes: it resets one, and refuses the next.

    Taken for its end, all hosts would leave it alone, and the others would have its work too.
    """

    async def story(scene: Scene) -> None:
        going_on = scene.run("r-1", "a")
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(5.0)
        assert scene.ended == []
        scene.finish(going_on, RunEnd.WHOLE, 1)

    in_scene(story)


def test_a_target_whose_last_connection_is_lost_a_moment_later_has_ended() -> None:
    async def story(scene: Scene) -> None:
        late = scene.run("r-1", "a")
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        scene.finish(late, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.3)
        assert [runs for _, runs in scene.ended] == [["r-1", "r-2"]]

    in_scene(story)
