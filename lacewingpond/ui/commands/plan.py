"""`lacewingpond plan`: what a file of intents would change."""

from pathlib import Path

from cleo.helpers import argument

from lacewingpond.ui.operators import (
    CONFIRM_OPTION,
    OPERATOR_OPTIONS,
    OperatorCommand,
    take,
)
from lacewingpond.util.errors import UserError


class PlanCommand(OperatorCommand):
    """Sends intents and shows the plan that answers them."""

    name = "plan"
    description = "Show what a file of intents would change."
    help = (
        "Example: <info>lacewingpond plan intents.json</info>\n"
        'The file holds {"intents": [{"type": "put-workspace", ...}, ...]}.'
    )
    arguments = [argument("intents", "Path of the intents, in JSON.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        path = Path(self.argument("intents"))
        try:
            body = path.read_bytes()
        except OSError as exc:
            raise UserError(f"{path}: {exc.strerror}") from exc
        return self.finish(take(self.client().plan_json(body)))
