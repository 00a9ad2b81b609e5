"""Small pieces that every part of the project uses."""
