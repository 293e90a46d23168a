"""Process shutdown and replacement: graceful shutdown, and hot restart with a successor."""
