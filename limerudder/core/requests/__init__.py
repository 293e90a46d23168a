"""A client's request from its first line to the end of its connection."""
