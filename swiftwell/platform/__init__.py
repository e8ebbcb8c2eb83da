"""The router as the platform runs it: the same engine, module, clock and turn, with the platform's ends."""
