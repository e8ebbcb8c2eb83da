"""Stand-ins of the systems around a gateway, with faults: programs of their own."""
