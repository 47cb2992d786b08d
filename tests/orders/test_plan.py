"""Check where the plan puts copies, how few it moves, and what it never takes."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.orders import Action, Copy, EngineView, Step, make_plan
from tests.configuration.documents import make_document


def make_engine(name: str, *copies: Copy, slots: int = 2, **changes: Any) -> EngineView:
    view = EngineView(
        name, 1, 1, f"place-{name[-1]}", name, True, frozenset(copies), frozenset(),
        frozenset("abc"), slots, 4, False,
    )  # fmt: skip
    return view._replace(**changes)


def document_with(**models: Any) -> Any:
    document = make_document()
    document["models"] = {
        name: {"version": "v1", "output_limit": 1, "context_limit": 1, **model}
        for name, model in models.items()
    }
    return document


A, B = Copy("a", "v1"), Copy("b", "v1")


def test_nothing_moves_where_all_is_in_place() -> None:
    engines = [make_engine("e1", A), make_engine("e2", A), make_engine("e3", B)]
    plan = make_plan(document_with(a={}, b={}), engines, {"a": 2.0, "b": 2.0}, ())
    assert plan == ((), ())


def test_the_model_without_a_copy_comes_first_then_the_busiest() -> None:
    engines = [make_engine(f"e{number}", A) for number in range(4)]
    document = document_with(a={}, b={}, c={})
    plan = make_plan(document, engines, {"a": 40.0, "b": 1.0, "c": 5.0}, ())
    assert [step.action.model for step in plan.steps[:2]] == ["c", "b"]


def test_copies_follow_demand_and_stay_when_it_falls_a_little() -> None:
    engines = [make_engine("e1", A)] + [make_engine(f"e{n}") for n in range(2, 6)]
    grown = make_plan(document_with(a={}), engines, {"a": 8.0}, ())
    assert [step.action for step in grown.steps] == [Action("load", "a", "v1")] * 2
    three = [make_engine(f"e{n}", A) for n in range(1, 4)]
    assert make_plan(document_with(a={}), three, {"a": 6.0}, ()).steps == ()


def test_a_surplus_copy_makes_room_only_where_its_slot_is_needed() -> None:
    engines = [make_engine(f"e{number}", A, slots=1) for number in range(3)]
    assert make_plan(document_with(a={}), engines, {}, ()).steps == ()
    plan = make_plan(document_with(a={}, b={}), engines, {"b": 1.0}, ())
    assert plan.steps == (Step("e0", Action("unload", "a", "v1")),)


def test_a_leaving_engine_neither_counts_nor_gets_an_order() -> None:
    engines = [make_engine("e1", A, leaving=True), make_engine("e2", B, slots=2)]
    plan = make_plan(document_with(a={}, b={}), engines, {}, ())
    assert plan.steps == (Step("e2", Action("load", "a", "v1")),)


def test_missing_adapters_are_loaded() -> None:
    engines = [make_engine("e1", A, adapters=frozenset({"x"}))]
    plan = make_plan(document_with(a={"adapters": ["x", "y"]}), engines, {}, ())
    assert plan.steps == (Step("e1", Action("adapter", "a", "v1", "y")),)


def test_an_engine_is_only_given_models_that_it_can_load() -> None:
    engines = [make_engine("e1", models=frozenset("b")), make_engine("e2", B)]
    plan = make_plan(document_with(a={}, b={}), engines, {}, ())
    assert plan.steps == (Step("e2", Action("load", "a", "v1")),)


copies = st.sets(
    st.builds(Copy, st.sampled_from(["a", "b", "c"]), st.sampled_from(["v0", "v1"])), max_size=2
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    held=st.lists(copies, min_size=1, max_size=6),
    slots=st.integers(1, 2),
    demand=st.dictionaries(st.sampled_from(["a", "b", "c"]), st.floats(0, 60)),
)
def test_a_plan_carried_out_never_takes_the_last_copy_and_comes_to_rest(
    held: list[set[Copy]], slots: int, demand: dict[str, float]
) -> None:
    """Whatever is loaded where and asked for, each round's steps are carried out in full.

    No model that was served may lose its last copy in between, and after some rounds
    nothing moves any more.
    """
    document = document_with(a={}, b={}, c={})
    engine_by_name = {
        f"e{number}": make_engine(f"e{number}", *sorted(found)[:slots], slots=slots)
        for number, found in enumerate(held)
    }
    for _ in range(40):
        plan = make_plan(document, list(engine_by_name.values()), demand, ())
        if not plan.steps:
            return
        for step in sorted(plan.steps, key=lambda step: step.action.kind, reverse=True):
            engine = engine_by_name[step.target]
            copy = Copy(step.action.model, step.action.version)
            after = (
                engine.copies - {copy} if step.action.kind == "unload" else engine.copies | {copy}
            )
            assert len(after) <= slots
            engine_by_name[step.target] = engine._replace(copies=after)
            served = {held.model for view in engine_by_name.values() for held in view.copies}
            assert step.action.kind == "load" or copy.model in served
    raise AssertionError("the plan never comes to rest")
