"""What three cases of the second review share: stand-ins, and nodes started by the deploy file."""
