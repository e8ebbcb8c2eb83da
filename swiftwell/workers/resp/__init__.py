"""Workers that speak RESP: codec, connections of many requests, the link."""
