"""`lacewingpond demo`: runs a small fleet with faults on loopback."""

from cleo.commands.command import Command
from cleo.helpers import option

from lacewingpond.demo.scenario import Demo
from lacewingpond.ui.output import parse_whole_number, to_json
from lacewingpond.ui.table import render_table
from lacewingpond.util.clock import RuntimeClock


class DemoCommand(Command):
    """Runs the demo and prints its outcomes."""

    name = "demo"
    description = "Run a small fleet with faults on loopback and check the outcomes."
    help = (
        "Example: <info>lacewingpond demo</info>\n"
        "The last line of the output is JSON. The exit status is 1 if an outcome\n"
        "is not as expected."
    )
    options = [
        option("seed", None, "Seed of the random choices.", flag=False, default="1")
    ]

    def handle(self) -> int:
        """Run the command."""
        seed = parse_whole_number("seed", self.option("seed"))
        report = Demo(RuntimeClock(), self.line, seed).run()
        rows = [
            ("held" if outcome.held else "BROKEN", outcome.name, outcome.seen)
            for outcome in report.outcomes
        ]
        self.line("")
        self.line(render_table(("", "outcome", "measured"), rows))
        self.line("")
        self.line(to_json({"held": report.all_held, "counts": report.counts}))
        return 0 if report.all_held else 1
