"""What the files of the command line share."""
