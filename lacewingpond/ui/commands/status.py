"""`lacewingpond status`: shows the current revision of each VM."""

from lacewingpond.operator.documents import VmStatus
from lacewingpond.ui.operators import OPERATOR_OPTIONS, OperatorCommand, unwrap_response
from lacewingpond.ui.output import to_json
from lacewingpond.ui.table import format_number, render_table


class StatusCommand(OperatorCommand):
    """Queries one daemon, which queries the others."""

    name = "status"
    description = "Show the current revision of each VM."
    help = "Example: <info>lacewingpond status --daemon 127.0.0.1:8082</info>"
    options = OPERATOR_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        view = unwrap_response(self.client().status())
        if self.as_json:
            self.line(to_json(view))
            return 0
        self.line(f"newest revision known to {view.vm_id}: {view.fleet_revision}\n")
        header = ("VM", "failure domain", "revision", "store seen s ago", "state")
        self.line(render_table(header, [_row(vm) for vm in view.vms]))
        return 0


def _row(vm: VmStatus) -> tuple[str, ...]:
    state = vm.detail or ("isolated" if vm.isolated else "connected")
    return (
        vm.vm_id,
        vm.failure_domain,
        format_number(vm.revision),
        format_number(vm.store_age_s),
        state,
    )
