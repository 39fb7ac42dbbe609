"""The files that a process stores on its disk: a segmented log with snapshots, and the directory that holds it."""
