"""Adapters for the users' platform: its protocols, documents, settings and store."""
