"""FastCGI 1.0 in the Responder role: codec, sessions, connections and the listener."""
