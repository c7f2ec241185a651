"""The task that owns a partition: its log, its workers, its recovery."""
