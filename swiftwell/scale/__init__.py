"""Scale runs: measure the production code at sizes up to the target, one size after another.

A "hollow" router, member, worker or list service is a stand-in: it runs the production code under test, or
answers it, but leaves out the rest (sockets, processing of calls, other processes).
"""
