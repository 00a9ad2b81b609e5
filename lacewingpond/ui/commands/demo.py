"""`lacewingpond demo`: a small fleet on loopback, with faults."""

from cleo.commands.command import Command
from cleo.helpers import option

from lacewingpond.demo.scenario import Demo
from lacewingpond.ui.output import to_json, whole_number
from lacewingpond.ui.table import render
from lacewingpond.util.clock import RuntimeClock


class DemoCommand(Command):
    """Runs the demo and reports its outcomes."""

    name = "demo"
    description = "Run a small fleet on loopback with faults, and judge the outcome."
    help = (
        "Example: <info>lacewingpond demo</info>\n"
        "The last line is JSON; the exit status is 1 when an outcome did not hold."
    )
    options = [option("seed", None, "Seed of the load.", flag=False, default="1")]

    def handle(self) -> int:
        """Run the command."""
        seed = whole_number("seed", self.option("seed"))
        report = Demo(RuntimeClock(), self.line, seed).run()
        rows = [
            ("held" if outcome.held else "BROKEN", outcome.name, outcome.seen)
            for outcome in report.outcomes
        ]
        self.line("")
        self.line(render(("", "outcome", "seen"), rows))
        self.line("")
        self.line(to_json({"held": report.all_held, "counts": report.counts}))
        return 0 if report.all_held else 1
