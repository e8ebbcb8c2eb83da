"""Where triggers come in: one shape of a call for all fronts, and a package for each protocol."""
