"""Named plugins that listen to kernel events."""
