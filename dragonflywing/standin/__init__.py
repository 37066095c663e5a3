"""Small stand-ins for the platform: store, databases and a fault-injecting proxy."""
