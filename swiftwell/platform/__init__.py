"""Runs the router on the platform: the same engine, decisions, clock and event loop, with the platform's
protocols.
"""
