"""Client connections: sessions, first lines and admission control."""
