"""The RESP link to workers: the codec, connections that carry several requests at a time, and the link."""
