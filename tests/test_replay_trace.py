"""Tests of trace files."""

import pytest

from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader
from lacewingpond.util.errors import UserError


def test_written_trace_is_read_back_unchanged(tmp_path):
    trace = Trace(
        TraceHeader("rates", "one", 7, (Expectation("excess", at_most=0),)),
        (TraceEvent(0.5, "arrival", "vm-1", {"workspace": "a"}),),
    )
    path = tmp_path / "one.jsonl"
    path.write_bytes(trace.to_bytes())
    assert Trace.from_file(path) == trace


def test_error_names_file_and_line_that_is_invalid(tmp_path):
    path = tmp_path / "bad.jsonl"
    path.write_text('{"scenario": "x", "title": "y", "seed": 1}\n{"at": "soon"}\n')
    with pytest.raises(UserError, match=r"bad\.jsonl:2"):
        Trace.from_file(path)
