"""Check that a target that ended is distinguished from one whose connections broke."""

from cranberrywall.quarantine import RunEnd
from cranberrywall.quarantine._endings import EndingSignal
from tests.quarantine.scene import Scene, run_scene


def test_a_target_that_takes_no_connection_after_a_loss_has_ended() -> None:
    """Two answers are truncated at the same time, and the address refuses connections.

    Both requests were running; a third one was answered completely just before, and was not.
    """

    async def scenario(scene: Scene) -> None:
        first, second, complete = (scene.run(name, "a") for name in ("r-1", "r-2", "r-3"))
        scene.finish(complete, RunEnd.WHOLE, 1)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(first, RunEnd.BROKEN, 1)
        scene.finish(second, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.01)
        [(ending, running_at)] = scene.ended
        assert (ending.target_incarnation.target, ending.signal) == ("a", EndingSignal.REFUSED)
        assert running_at == ["r-1", "r-2"]
        assert len(scene.network.dialled) == 1

    run_scene(scenario)


def test_a_target_that_breaks_an_answer_off_and_lives_on_has_not_ended() -> None:
    """An answer is truncated or a connection reset; the address still accepts connections."""

    async def scenario(scene: Scene) -> None:
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []
        assert len(scene.network.dialled) == 4

    run_scene(scenario)


def test_an_unresponsive_address_proves_nothing() -> None:
    """A partition between this host and the target looks like a target that does not respond."""

    async def scenario(scene: Scene) -> None:
        scene.network.unresponsive.add("10.0.0.1:1")
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []

    run_scene(scenario)


def test_a_target_that_is_back_before_the_first_check_is_detected_by_its_announcement() -> None:
    """A target ends, and its platform restarts it immediately at the same address.

    It accepts connections, so only its announcement shows the end, as a later incarnation or under
    another id.
    """

    async def scenario(scene: Scene) -> None:
        scene.announce("b", 2)
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        scene.finish(scene.run("r-2", "b"), RunEnd.BROKEN, 2)
        await scene.clock.sleep(4.0)
        scene.announce("a", 1, incarnation=2)
        scene.announce("c", 2)
        assert [(e.target_incarnation.target, e.signal, runs) for e, runs in scene.ended] == [
            ("a", EndingSignal.RESTARTED, ["r-1"]),
            ("b", EndingSignal.RESTARTED, ["r-2"]),
        ]

    run_scene(scenario)


def test_a_target_that_left_in_order_has_not_ended_under_its_last_requests() -> None:
    """A target announces that it leaves, runs on for a while, and breaks unfinished requests."""

    async def scenario(scene: Scene) -> None:
        run = scene.run("r-1", "a")
        scene.announce("a", 1, counter=2, leaving=True)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(run, RunEnd.BROKEN, 1)
        await scene.clock.sleep(20.0)
        assert scene.ended == []

    run_scene(scenario)


def test_a_broken_answer_of_before_is_not_held_against_a_request_when_its_target_ends() -> None:
    """An answer is truncated by a target that still works. Seconds later the target does end.

    Only the later request was running then.
    """

    async def scenario(scene: Scene) -> None:
        scene.finish(scene.run("r-1", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(3.0)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        assert [runs for _, runs in scene.ended] == [["r-2"]]

    run_scene(scenario)


def test_a_request_whose_caller_left_just_before_was_running() -> None:
    """The caller disconnects, and the target ends a moment later.

    The target may still have been running the request.
    """

    async def scenario(scene: Scene) -> None:
        early, abandoned, broken = (scene.run(name, "a") for name in ("r-1", "r-2", "r-3"))
        scene.finish(early, RunEnd.GIVEN_UP, 1)
        await scene.clock.sleep(5.0)
        scene.finish(abandoned, RunEnd.GIVEN_UP, 1)
        await scene.clock.sleep(0.3)
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(broken, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        assert [runs for _, runs in scene.ended] == [["r-2", "r-3"]]

    run_scene(scenario)


def test_retained_unanswered_runs_are_bounded() -> None:
    """A target that is unresponsive for hours leaves thousands of runs that were abandoned."""

    async def scenario(scene: Scene) -> None:
        for number in range(5000):
            scene.finish(scene.run(f"r-{number}", "a"), RunEnd.GIVEN_UP, 1)
        assert len(scene.tracker.runs._unanswered) == 4096
        await scene.clock.sleep(20.0)
        scene.finish(scene.run("r-last", "a"), RunEnd.WHOLE, 1)
        assert len(scene.tracker.runs._unanswered) == 0
        assert not scene.tracker.runs._by_incarnation

    run_scene(scenario)


def test_a_target_that_refuses_connections_and_goes_on_with_its_requests_has_not_ended() -> None:
    """A target has its maximum of connections: it resets one, and refuses the next.

    If this counted as its end, all hosts would stop using it, and the other targets would get its
    load too.
    """

    async def scenario(scene: Scene) -> None:
        going_on = scene.run("r-1", "a")
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(5.0)
        assert scene.ended == []
        scene.finish(going_on, RunEnd.WHOLE, 1)

    run_scene(scenario)


def test_a_target_whose_last_connection_is_lost_a_moment_later_has_ended() -> None:
    async def scenario(scene: Scene) -> None:
        late = scene.run("r-1", "a")
        scene.network.refuses.add("10.0.0.1:1")
        scene.finish(scene.run("r-2", "a"), RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.1)
        scene.finish(late, RunEnd.BROKEN, 1)
        await scene.clock.sleep(0.3)
        assert [runs for _, runs in scene.ended] == [["r-1", "r-2"]]

    run_scene(scenario)
