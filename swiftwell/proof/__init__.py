"""What went over the sockets, and the checker of the five rules on it."""
