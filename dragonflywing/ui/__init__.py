"""Command-line interfaces; no other package prints."""
