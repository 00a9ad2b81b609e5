"""The operators' API, which plans and confirms changes and shows the status."""
