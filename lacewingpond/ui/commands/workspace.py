"""`lacewingpond workspace`: plans to add, change or remove workspaces."""

from cleo.helpers import argument

from lacewingpond.config.intents import PutWorkspace, RemoveWorkspace
from lacewingpond.config.model import Workspace
from lacewingpond.ui.operators import CONFIRM_OPTION, OPERATOR_OPTIONS, OperatorCommand
from lacewingpond.util.errors import UserError


class WorkspacePutCommand(OperatorCommand):
    """Plans to add a workspace, or to change the limits of one."""

    name = "workspace put"
    description = "Plan to add a workspace, or to change its rate and burst."
    help = "Example: <info>lacewingpond workspace put sita-books 20 40</info>"
    arguments = [
        argument("name", "Name of the workspace."),
        argument("rate", "Requests per second, over all VMs."),
        argument("burst", "Requests that may arrive at once, over all VMs."),
    ]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        workspace = Workspace(
            self.argument("name"),
            self._float_argument("rate"),
            self._float_argument("burst"),
        )
        return self.plan_intents(PutWorkspace(workspace))

    def _float_argument(self, name: str) -> float:
        text = self.argument(name)
        try:
            return float(text)
        except ValueError:
            raise UserError(f"{name}: {text!r} is not a number") from None


class WorkspaceRemoveCommand(OperatorCommand):
    """Plans to remove a workspace."""

    name = "workspace remove"
    description = "Plan to remove a workspace."
    help = "Example: <info>lacewingpond workspace remove sita-books</info>"
    arguments = [argument("name", "Name of the workspace.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        return self.plan_intents(RemoveWorkspace(self.argument("name")))
