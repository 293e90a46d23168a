"""The life of a node process: graceful shutdown and hot restart."""
