"""Thin drivers between sockets and the state machines in limerudder.core. They contain no policy."""
