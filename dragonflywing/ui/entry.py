"""The dfw-entry command: the entry daemon."""

from dragonflywing import entry, logs, settings
from dragonflywing.ui import command


def serve(settings_file):
    """Serve callers until SIGTERM, then finish running requests and exit.

    Example: dfw-entry --settings_file entry.json
    """
    cfg = settings.load(settings_file)
    logs.configure(cfg.log_level)
    command.run(entry.serve(cfg))


def main():
    """Run the command."""
    command.main(serve)
