"""Coordinated start of a fleet: who reads the worker list, and when.

Builds on `fleet`, which does not import it.
"""
