"""Replays a trace with both variants and checks the measures against the bounds."""

from msgspec import Struct

from lacewingpond.replay.base import Measures, Replayer, Variant
from lacewingpond.replay.replayers import REPLAYERS
from lacewingpond.replay.trace import Expectation, Trace
from lacewingpond.util.errors import UserError


class MeasureRow(Struct, frozen=True):
    """One measure of a replayed trace and its bound.

    Parameters
    ----------
    trace : str
        File name of the trace.
    measure : str
        Name of the measure.
    current, naive : float or None
        Values of the two variants; None if a variant does not report the measure.
    target : str
        The bound as text, such as ``<= 0.01``; empty if there is none.
    held : bool
        Whether the current variant kept the bound; true if there is none.
    """

    trace: str
    measure: str
    current: float | None
    naive: float | None
    target: str
    held: bool


def replay(name: str, trace: Trace) -> tuple[MeasureRow, ...]:
    """Replay `trace` with both variants and return a row for each measure.

    Raises
    ------
    UserError
        If there is no replayer for the trace's scenario.
    """
    replayer = _replayer_for(name, trace)
    current = replayer.play(trace, Variant.CURRENT)
    naive = replayer.play(trace, Variant.NAIVE)
    expected = {bound.measure: bound for bound in trace.header.expect}
    measures = dict.fromkeys([*expected, *current, *naive])
    return tuple(
        _row(name, measure, current, naive, expected.get(measure))
        for measure in measures
    )


def _replayer_for(name: str, trace: Trace) -> Replayer:
    replayer = REPLAYERS.get(trace.header.scenario)
    if replayer is None:
        known = ", ".join(sorted(REPLAYERS)) or "none"
        raise UserError(
            f"{name}: unknown scenario {trace.header.scenario!r}; known: {known}"
        )
    return replayer


def _row(
    name: str,
    measure: str,
    current: Measures,
    naive: Measures,
    bound: Expectation | None,
) -> MeasureRow:
    value = current.get(measure)
    other = naive.get(measure)
    return MeasureRow(
        trace=name,
        measure=measure,
        current=value,
        naive=other,
        target=_describe(bound),
        held=bound is None or _holds(bound, value, other),
    )


def _holds(bound: Expectation, value: float | None, naive: float | None) -> bool:
    if value is None:
        return False
    if bound.at_most is not None and value > bound.at_most:
        return False
    if bound.at_least is not None and value < bound.at_least:
        return False
    return not bound.below_naive or (naive is not None and value < naive)


def _describe(bound: Expectation | None) -> str:
    if bound is None:
        return ""
    parts = []
    if bound.at_most is not None:
        parts.append(f"<= {bound.at_most:g}")
    if bound.at_least is not None:
        parts.append(f">= {bound.at_least:g}")
    if bound.below_naive:
        parts.append("< naive")
    return " and ".join(parts)
