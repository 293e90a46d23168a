"""The client side: sessions of client connections and their admission."""
