"""Upgrades under load: listener, connections and state handed from the old process to the new."""
