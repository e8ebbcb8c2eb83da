"""The engine that hosts the decisions, the ledger of effects, and the shell that joins both to sockets."""
