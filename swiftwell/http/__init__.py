"""HTTP/1.1 as far as it is used: a parser without I/O, a small server, a small client."""
