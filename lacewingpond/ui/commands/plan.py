"""`lacewingpond plan`: plans the changes that a file of intents asks for."""

from pathlib import Path

from cleo.helpers import argument

from lacewingpond.ui.operators import (
    CONFIRM_OPTION,
    OPERATOR_OPTIONS,
    OperatorCommand,
    unwrap_response,
)
from lacewingpond.util.errors import UserError


class PlanCommand(OperatorCommand):
    """Sends intents from a file to a daemon and shows the resulting plan."""

    name = "plan"
    description = "Plan a file of intents and show what it would change."
    help = (
        "Example: <info>lacewingpond plan intents.json</info>\n"
        'The file holds {{"intents": [{{"type": "put-workspace", ...}}, ...]}}.'
    )
    arguments = [argument("intents", "Path of the file of intents, in JSON.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        path = Path(self.argument("intents"))
        try:
            body = path.read_bytes()
        except OSError as exc:
            raise UserError(f"{path}: {exc.strerror}") from exc
        return self.show_and_confirm(unwrap_response(self.client().plan_json(body)))
