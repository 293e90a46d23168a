"""State machines fed bytes or events: no sockets, no clock, no event loop."""
