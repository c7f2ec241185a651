"""Cell membership, calls between processes and partition ownership."""
