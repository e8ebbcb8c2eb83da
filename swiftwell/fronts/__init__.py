"""The fronts, over which calls arrive: one representation of a call, and a package for each protocol."""
