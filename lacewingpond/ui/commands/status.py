"""`lacewingpond status`: which VMs are on which revision."""

from lacewingpond.operator.documents import VmStatus
from lacewingpond.ui.operators import OPERATOR_OPTIONS, OperatorCommand, take
from lacewingpond.ui.output import to_json
from lacewingpond.ui.table import number, render


class StatusCommand(OperatorCommand):
    """Asks one daemon, which asks the others."""

    name = "status"
    description = "Show which VMs are on which revision."
    help = "Example: <info>lacewingpond status --daemon 127.0.0.1:8082</info>"
    options = OPERATOR_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        view = take(self.client().status())
        if self.as_json:
            self.line(to_json(view))
            return 0
        self.line(f"newest revision known at {view.vm_id}: {view.fleet_revision}\n")
        header = ("VM", "failure domain", "revision", "store heard s ago", "state")
        self.line(render(header, [_row(vm) for vm in view.vms]))
        return 0


def _row(vm: VmStatus) -> tuple[str, ...]:
    state = vm.detail or ("isolated" if vm.isolated else "in touch")
    return (
        vm.vm_id,
        vm.failure_domain,
        number(vm.revision),
        number(vm.store_age_s),
        state,
    )
