"""Examples; CI runs them."""
