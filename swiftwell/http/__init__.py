"""The parts of HTTP/1.1 that are used: a parser without I/O, a small server and a small client."""
