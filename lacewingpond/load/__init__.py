"""An open-loop load tool that checks the fleet's promises."""
