"""The users' platform: its protocols and documents, translated and no more."""
