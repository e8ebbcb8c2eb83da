"""FastCGI 1.0 in the role Responder: codec, session of a connection, listener."""
