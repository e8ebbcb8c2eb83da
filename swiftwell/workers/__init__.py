"""The link to workers: HTTP/1.1 parser, connection pool, and what an attempt's end proves."""
