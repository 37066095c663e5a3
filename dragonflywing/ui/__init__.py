"""The commands; the only package that prints."""
