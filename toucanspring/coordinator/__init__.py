"""Jobs of dependent steps, scheduled by one elected process over a table service."""
