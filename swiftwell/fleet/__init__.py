"""Coordination between the routers of a fleet: membership, leases, and shares of fleet-wide budgets.

Knows nothing of calls or workers.  Only `link` and `lease_exercise` do I/O and read a clock.
"""
