"""Which processes there are, how they talk and which of them owns what."""
