"""`lacewingpond workspace`: workspaces and their rates."""

from cleo.helpers import argument

from lacewingpond.config.intents import PutWorkspace, RemoveWorkspace
from lacewingpond.config.model import Workspace
from lacewingpond.ui.operators import CONFIRM_OPTION, OPERATOR_OPTIONS, OperatorCommand
from lacewingpond.util.errors import UserError


class WorkspacePutCommand(OperatorCommand):
    """Plans a new workspace or new limits of one."""

    name = "workspace put"
    description = "Plan a workspace with its rate and burst."
    help = "Example: <info>lacewingpond workspace put sita-books 20 40</info>"
    arguments = [
        argument("name", "Name of the workspace."),
        argument("rate", "Requests a second, counted over all VMs."),
        argument("burst", "Requests at once, counted over all VMs."),
    ]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        workspace = Workspace(
            self.argument("name"), self._number("rate"), self._number("burst")
        )
        return self.propose(PutWorkspace(workspace))

    def _number(self, name: str) -> float:
        text = self.argument(name)
        try:
            return float(text)
        except ValueError:
            raise UserError(f"{name}: {text!r} is not a number") from None


class WorkspaceRemoveCommand(OperatorCommand):
    """Plans the removal of a workspace."""

    name = "workspace remove"
    description = "Plan the removal of a workspace."
    help = "Example: <info>lacewingpond workspace remove sita-books</info>"
    arguments = [argument("name", "Name of the workspace.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        return self.propose(RemoveWorkspace(self.argument("name")))
