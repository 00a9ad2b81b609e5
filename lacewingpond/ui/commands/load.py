"""`lacewingpond load`: sends a load and checks the fleet's guarantees."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err

from lacewingpond.load.plan import LoadPlan
from lacewingpond.load.runner import LoadRunner
from lacewingpond.load.summary import LoadReport
from lacewingpond.ui.output import (
    FORMAT_OPTION,
    parse_whole_number,
    to_json,
    wants_json,
)
from lacewingpond.ui.table import format_number, render_table
from lacewingpond.util.clock import RuntimeClock
from lacewingpond.util.errors import UserError


class LoadCommand(Command):
    """Sends the load of a plan and prints how the requests ended."""

    name = "load"
    description = "Send an open-loop load and check the fleet's guarantees."
    help = (
        "Example: <info>lacewingpond load plan.toml --seed 7</info>\n"
        "The exit status is 1 if a guarantee is violated: callers' responses are\n"
        "compared with each other and with the runs that the targets counted."
    )
    arguments = [argument("plan", "Path of the load plan, in TOML.")]
    options = [
        FORMAT_OPTION,
        option(
            "seed", None, "Seed of the random choices; default: the plan's.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        as_json = wants_json(self.option("format"))
        plan = self._read_plan(Path(self.argument("plan")))
        report = LoadRunner(plan, RuntimeClock(), self.line_error).run()
        self.line(to_json(report) if as_json else _table(report))
        for violation in report.broken:
            self.line_error(violation)
        return 1 if report.broken else 0

    def _read_plan(self, path: Path) -> LoadPlan:
        outcome = LoadPlan.from_file(path)
        if isinstance(outcome, Err):
            raise UserError("; ".join(str(f) for f in outcome.err_value))
        if self.option("seed") is None:
            return outcome.ok_value
        seed = parse_whole_number("seed", self.option("seed"))
        return msgspec.structs.replace(outcome.ok_value, seed=seed)


def _table(report: LoadReport) -> str:
    header = ("workspace", "sent", "answered", "not-run", "unknown", "limited")
    header += ("errors", "p50 ms", "p99 ms", "max ms")
    return render_table(
        header,
        [
            (
                row.workspace,
                str(row.sent),
                str(row.answered),
                str(row.refused_not_run),
                str(row.refused_unknown),
                str(row.limited),
                str(row.errors),
                format_number(row.p50_ms),
                format_number(row.p99_ms),
                format_number(row.max_ms),
            )
            for row in report.workspaces
        ],
    )
