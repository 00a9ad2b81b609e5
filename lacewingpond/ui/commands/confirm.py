"""`lacewingpond confirm`: puts a plan in force."""

from cleo.helpers import argument

from lacewingpond.ui.operators import OPERATOR_OPTIONS, OperatorCommand, take
from lacewingpond.ui.output import to_json


class ConfirmCommand(OperatorCommand):
    """Confirms a plan; asking twice changes nothing more."""

    name = "confirm"
    description = "Put a plan in force; safe to repeat."
    help = "Example: <info>lacewingpond confirm 6f1c0a...</info>"
    arguments = [argument("plan", "Id of the plan.")]
    options = OPERATOR_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        confirmed = take(self.client().confirm(self.argument("plan")))
        if self.as_json:
            self.line(to_json(confirmed))
            return 0
        before = " already" if confirmed.repeated else ""
        self.line(
            f"Plan {confirmed.plan_id} is{before} in force as revision "
            f"{confirmed.revision}."
        )
        return 0
