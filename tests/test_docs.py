"""Tests that the documentation covers metrics, refusals and commands."""

import re
from pathlib import Path

import pytest

from lacewingpond.idempotency.reply import ReplyKind
from lacewingpond.limits.admission import RefusalReason
from lacewingpond.queues.refusal import QueueReason
from lacewingpond.routing.match import RouteFailure
from lacewingpond.targets.errors import SendReason
from lacewingpond.ui.application import build

ROOT = Path(__file__).parents[1]
SOURCES = [path.read_text() for path in (ROOT / "lacewingpond").rglob("*.py")]
METRIC = re.compile(r'\b(?:incr|gauge|timing)\(\s*f?"([^"{]+)')
REFUSAL = re.compile(
    r'(?:not_run|unknown|refusal_response)\(\s*\d{3},(?:\s*RunState\.\w+,)?\s*"([\w-]+)"'
)
REASONS_NOT_SENT = frozenset({"answer", "caller-gone", "superseded"})
"""Reasons that no caller receives: there is a response, or the caller disconnected."""
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text()


def metric_names():
    found = {name for text in SOURCES for name in METRIC.findall(text)}
    return sorted(found)


@pytest.mark.parametrize("name", metric_names())
def test_metric_is_documented(name):
    assert f"`{name}" in OPERATORS


def refusal_reasons():
    enums = (QueueReason, RefusalReason, ReplyKind, RouteFailure, SendReason)
    named = {reason.value for enum in enums for reason in enum}
    written = {name for text in SOURCES for name in REFUSAL.findall(text)}
    return sorted((named | written) - REASONS_NOT_SENT)


@pytest.mark.parametrize("reason", refusal_reasons())
def test_refusal_reason_is_documented(reason):
    assert f"`{reason}`" in OPERATORS


def test_every_command_has_an_example():
    for command in build().all().values():
        if command.name in ("completions", "help", "list"):
            continue
        assert "Example: " in command.help, command.name


def names_of_tests():
    files = list((ROOT / "tests").rglob("test_*.py"))
    functions = "\n".join(path.read_text() for path in files)
    return {path.stem for path in files} | set(re.findall(r"def (test_\w+)", functions))


# A test that was renamed leaves pages behind that name nothing.
def test_tests_that_the_docs_name_exist():
    pages = [path.read_text() for path in ROOT.glob("docs/**/*.md")]
    named = {name for page in pages for name in re.findall(r"`(test_\w+)`", page)}
    assert named
    assert named - names_of_tests() == set()


@pytest.mark.parametrize("page", sorted(ROOT.glob("docs/**/*.md")), ids=str)
def test_relative_links_point_to_existing_files(page):
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target
