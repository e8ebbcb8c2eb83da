"""Clients of the list of workers."""
