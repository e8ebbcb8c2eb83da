"""Emulates everything around the gateways in virtual time; the engine is the real one."""
