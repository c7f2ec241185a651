"""Modules shared by the commands of the command line."""
