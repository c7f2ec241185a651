"""Models of the protocols of a cell, checked exhaustively by minicheck."""
