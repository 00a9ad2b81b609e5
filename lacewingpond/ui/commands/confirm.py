"""`lacewingpond confirm`: applies a plan."""

from cleo.helpers import argument

from lacewingpond.ui.operators import OPERATOR_OPTIONS, OperatorCommand, unwrap_response
from lacewingpond.ui.output import to_json


class ConfirmCommand(OperatorCommand):
    """Confirms a plan; repeating it has no further effect."""

    name = "confirm"
    description = "Confirm a plan, which applies it; safe to repeat."
    help = "Example: <info>lacewingpond confirm 6f1c0a...</info>"
    arguments = [argument("plan", "Id of the plan.")]
    options = OPERATOR_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        confirmed = unwrap_response(self.client().confirm(self.argument("plan")))
        if self.as_json:
            self.line(to_json(confirmed))
            return 0
        already = " already" if confirmed.repeated else ""
        self.line(
            f"Plan {confirmed.plan_id} is{already} applied as revision "
            f"{confirmed.revision}."
        )
        return 0
