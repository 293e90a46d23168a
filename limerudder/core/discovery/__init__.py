"""Service discovery: endpoint lists, the HTTP client that watches them, and recorded drains."""
