"""State machines driven by bytes and events, without sockets, clocks or an event loop."""
