"""Requests and their connections, from acceptance to the end of the connection."""
