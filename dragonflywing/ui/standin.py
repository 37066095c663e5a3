"""The dfw-standin command: stand-ins for tests and demonstrations."""

from dragonflywing import typed
from dragonflywing.standin import database, faults, store
from dragonflywing.ui import command


class Standin:
    """Stand-ins for the platform, never for a user's machine.

    Example: dfw-standin store --port 2379
    """

    def store(self, host="127.0.0.1", port=2379):
        """Serve a stand-in store.

        Example: dfw-standin store --port 2379
        """
        command.run_until_signal(store.serve(host, port))

    def database(self, settings):
        """Serve a stand-in database from a settings file.

        Example: dfw-standin database --settings db.json
        """
        cfg = typed.load(settings, database.DatabaseSettings)
        command.run_until_signal(database.serve(cfg))

    def faults(self, settings):
        """Serve the fault-injecting proxy from a settings file.

        Example: dfw-standin faults --settings faults.json
        """
        cfg = typed.load(settings, faults.FaultSettings)
        command.run_until_signal(faults.serve(cfg))


def main():
    """Run the command."""
    command.main(Standin)
