"""The end of a node's process: graceful shutdown, and hot restart with a successor."""
