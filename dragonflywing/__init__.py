"""A database proxy with session consistency for replicated databases."""
