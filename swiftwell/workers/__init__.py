"""Links to workers: connections over HTTP and RESP, and what an answer proves about an attempt."""
