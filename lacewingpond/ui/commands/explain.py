"""`lacewingpond explain`: shows the decisions about one request from the logs."""

import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from lacewingpond.explain.log_line import parse_line
from lacewingpond.explain.timeline import RequestTimeline
from lacewingpond.util.errors import UserError

NOT_FOUND_STATUS = 1


class ExplainCommand(Command):
    """Reads logs and shows the decisions about a request, with their reasons."""

    name = "explain"
    description = "Show the decisions about one request from the daemons' logs."
    help = (
        "Example: <info>lacewingpond explain 9c41d07be2a35f68 front-*.log</info>\n"
        "Without files, lines are read from standard input. Lines that can't be read\n"
        "are skipped and counted. The exit status is 1 if no line names the request."
    )
    arguments = [
        argument("id", "Id of the request."),
        argument("files", "Files with log lines.", optional=True, multiple=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        timeline, skipped = RequestTimeline(self.argument("id")), 0
        for text in _read_lines(self.argument("files")):
            parsed = parse_line(text)
            if parsed.is_ok():
                timeline.add(parsed.ok_value)
            elif text.strip():
                skipped += 1
        for line in timeline.lines:
            self.line(line)
        if skipped:
            self.line_error(f"{skipped} lines could not be read")
        if not timeline.lines:
            self.line_error(f"no log line names request {self.argument('id')}")
            return NOT_FOUND_STATUS
        return 0


def _read_lines(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as exc:
            raise UserError(f"{name}: {exc.strerror}") from exc
