"""Configuration of the cell, API keys and availability zones."""
