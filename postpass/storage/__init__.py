"""What a process keeps on its disk: a segmented log with snapshots, and the directory that holds it."""
