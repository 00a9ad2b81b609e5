"""`lacewingpond key`: plans to grant or withdraw callers' keys."""

import secrets

from cleo.helpers import argument

from lacewingpond.config.intents import GrantKey, WithdrawKey
from lacewingpond.config.keys import key_digest, new_key
from lacewingpond.config.model import Key
from lacewingpond.ui.operators import CONFIRM_OPTION, OPERATOR_OPTIONS, OperatorCommand

KEY_ID_BYTES = 6


class KeyGrantCommand(OperatorCommand):
    """Creates a key, plans to grant it and prints it once."""

    name = "key grant"
    description = "Create a key for a workspace and plan to grant it."
    help = (
        "Example: <info>lacewingpond key grant sita-books --yes</info>\n"
        "The key is printed once, to standard error; only its digest is stored."
    )
    arguments = [
        argument("workspace", "Workspace whose requests carry the key."),
        argument("id", "Id of the key; default: a random one.", optional=True),
    ]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        key = new_key()
        key_id = self.argument("id") or secrets.token_hex(KEY_ID_BYTES)
        granted = Key(key_id, self.argument("workspace"), key_digest(key))
        status = self.plan_intents(GrantKey(granted))
        self.line_error(f"key {key_id}: {key}")
        return status


class KeyWithdrawCommand(OperatorCommand):
    """Plans to withdraw a key."""

    name = "key withdraw"
    description = "Plan to withdraw a key."
    help = "Example: <info>lacewingpond key withdraw 5f2c9a --yes</info>"
    arguments = [argument("id", "Id of the key.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        return self.plan_intents(WithdrawKey(self.argument("id")))
