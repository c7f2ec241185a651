"""Owner of a partition: its log, worker links, takeover and handover."""
