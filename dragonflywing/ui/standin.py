"""The dfw-standin command: stand-in services for tests and demonstrations."""

from dragonflywing import typed
from dragonflywing.standin import database, faults, store
from dragonflywing.ui import command


class Standin:
    """Run stand-ins for the platform's services; not for production.

    Example: dfw-standin store --port 2379
    """

    def store(self, host="127.0.0.1", port=2379):
        """Serve a stand-in for the platform's key-value store.

        Example: dfw-standin store --port 2379
        """
        command.run_until_signal(store.serve(host, port))

    def database(self, settings):
        """Serve a stand-in database with the settings in a file.

        Example: dfw-standin database --settings db.json
        """
        cfg = typed.load(settings, database.DatabaseSettings)
        command.run_until_signal(database.serve(cfg))

    def faults(self, settings):
        """Serve the fault-injecting proxy with the settings in a file.

        Example: dfw-standin faults --settings faults.json
        """
        cfg = typed.load(settings, faults.FaultSettings)
        command.run_until_signal(faults.serve(cfg))


def main():
    """Run the command."""
    command.main(Standin)
