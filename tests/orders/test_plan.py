"""Check where the plan puts copies, how few it moves, and what it never takes."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.orders import Action, Copy, EngineView, Issuer, Step, make_plan
from cranberrywall.orders._engines import without_replaced
from cranberrywall.orders.messages import OpenOrder
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


def carry_out(engine: EngineView, action: Action) -> EngineView:
    copy = Copy(action.model, action.version)
    if action.kind == "unload":
        return engine._replace(copies=engine.copies - {copy})
    kept = {held for held in engine.copies if not engine.one_model or held.model == copy.model}
    return engine._replace(copies=frozenset({*kept, copy}))


def test_engines_move_to_the_model_whose_demand_rose_few_at_a_time() -> None:
    """Seven engines serve a, one serves b; demand goes from a to b.

    Each is emptied first and then given b, at most as many at once as the store can fill,
    and a keeps what its demand takes.
    """
    engines = {f"e{n}": make_engine(f"e{n}", A, one_model=True) for n in range(7)}
    engines["e7"] = make_engine("e7", B, one_model=True)
    document = document_with(a={}, b={})
    moved = 0
    for _ in range(20):
        steps = make_plan(document, list(engines.values()), {"a": 3.0, "b": 13.0}, (), 2).steps
        assert len(steps) <= 2
        for step in steps:
            assert step.action.kind == "unload" or not engines[step.target].copies
            engines[step.target] = carry_out(engines[step.target], step.action)
            moved += step.action.kind == "load"
    held = [copy for engine in engines.values() for copy in engine.copies]
    assert (held.count(A), held.count(B), moved) == (3, 5, 4)


def test_the_last_engine_of_a_model_does_not_move_whatever_the_demand() -> None:
    engines = [make_engine("e1", A, one_model=True), make_engine("e2", B, one_model=True)]
    plan = make_plan(document_with(a={}, b={}), engines, {"b": 100.0}, ())
    assert plan.steps == ()
    assert plan.waiting == (
        "b: 1 of 2 copies, and no engine has room without taking a copy that is needed",
    )


def test_an_engine_with_room_for_a_version_has_none_for_another_model() -> None:
    engines = [make_engine("e1", A, slots=3, one_model=True), make_engine("e2", B, one_model=True)]
    assert make_plan(document_with(a={}, b={}), engines, {"b": 9.0}, ()).steps == ()


def test_a_copy_that_a_pending_load_may_replace_does_not_count() -> None:
    """An engine was emptied for b, and restarts with a while the load of b is on its way."""
    order = OpenOrder(1, "o", Issuer("h", 1), "e1", 1, 1, True, Action("load", *B), True, 0.0)
    engines = [make_engine("e1", A, one_model=True), make_engine("e2", A, one_model=True)]
    counted = without_replaced(engines, [order])
    assert [engine.copies for engine in counted] == [frozenset(), frozenset({A})]
    plan = make_plan(document_with(a={}, b={"copies": 2}), counted, {}, [order])
    assert plan.steps == ()


copies = st.sets(
    st.builds(Copy, st.sampled_from(["a", "b", "c"]), st.sampled_from(["v0", "v1"])), max_size=2
)


def _held(found: set[Copy], one_model: bool) -> list[Copy]:
    held = sorted(found)
    return [copy for copy in held if not one_model or copy.model == held[0].model]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    held=st.lists(copies, min_size=1, max_size=6),
    slots=st.integers(1, 2),
    one_model=st.booleans(),
    demand=st.dictionaries(st.sampled_from(["a", "b", "c"]), st.floats(0, 60)),
)
def test_a_plan_carried_out_never_takes_the_last_copy_and_comes_to_rest(
    held: list[set[Copy]], slots: int, one_model: bool, demand: dict[str, float]
) -> None:
    """Whatever is loaded where and asked for, each round's steps are carried out in full.

    No model that was served may lose its last copy in between, and after some rounds
    nothing moves any more.
    """
    document = document_with(a={}, b={}, c={})
    engine_by_name = {
        f"e{number}": make_engine(
            f"e{number}", *_held(found, one_model)[:slots], slots=slots, one_model=one_model
        )
        for number, found in enumerate(held)
    }
    for _ in range(40):
        plan = make_plan(document, list(engine_by_name.values()), demand, ())
        if not plan.steps:
            return
        for step in sorted(plan.steps, key=lambda step: step.action.kind, reverse=True):
            engine = engine_by_name[step.target]
            copy = Copy(step.action.model, step.action.version)
            engine_by_name[step.target] = carry_out(engine, step.action)
            assert len(engine_by_name[step.target].copies) <= slots
            # A load never takes what the engine served: it was unloaded by an order before.
            lost = engine.copies - engine_by_name[step.target].copies
            assert step.action.kind == "unload" or not lost
            served = {held.model for view in engine_by_name.values() for held in view.copies}
            assert step.action.kind == "load" or copy.model in served
    raise AssertionError("the plan never comes to rest")
