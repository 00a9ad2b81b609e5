"""`lacewingpond key`: grants and withdraws callers' keys."""

import secrets

from cleo.helpers import argument

from lacewingpond.config.intents import GrantKey, WithdrawKey
from lacewingpond.config.keys import digest_of, new_key
from lacewingpond.config.model import Key
from lacewingpond.ui.operators import CONFIRM_OPTION, OPERATOR_OPTIONS, OperatorCommand

KEY_ID_BYTES = 6


class KeyGrantCommand(OperatorCommand):
    """Makes a key, shows it once, and plans its grant."""

    name = "key grant"
    description = "Make a key for a workspace and plan its grant."
    help = (
        "Example: <info>lacewingpond key grant sita-books --yes</info>\n"
        "The key is written to standard error once and kept nowhere."
    )
    arguments = [
        argument("workspace", "Workspace that the key speaks for."),
        argument("id", "Public name of the key; made up by default.", optional=True),
    ]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        key = new_key()
        key_id = self.argument("id") or secrets.token_hex(KEY_ID_BYTES)
        granted = Key(key_id, self.argument("workspace"), digest_of(key))
        status = self.propose(GrantKey(granted))
        self.line_error(f"key {key_id}: {key}")
        return status


class KeyWithdrawCommand(OperatorCommand):
    """Plans the withdrawal of a key."""

    name = "key withdraw"
    description = "Plan the withdrawal of a key."
    help = "Example: <info>lacewingpond key withdraw 5f2c9a --yes</info>"
    arguments = [argument("id", "Public name of the key.")]
    options = [*OPERATOR_OPTIONS, CONFIRM_OPTION]

    def handle(self) -> int:
        """Run the command."""
        return self.propose(WithdrawKey(self.argument("id")))
