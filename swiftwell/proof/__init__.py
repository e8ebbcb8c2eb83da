"""Runs days against real gateways, checks the five rules on the traces, and model-checks fleet decisions."""
