"""Thin drivers between sockets and the state machines in limerudder.core. They decide nothing."""
