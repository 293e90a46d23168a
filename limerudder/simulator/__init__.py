"""The adapter that runs the connection policy in the simulator, over its binary protocol."""
