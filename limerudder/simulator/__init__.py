"""The adapter that runs the connection policy in the simulator, over its binary protocol.

`adapter` is the program; `decoding` and `encoding` are the two directions of the protocol, and `protocol`
contains their common definitions.
"""
