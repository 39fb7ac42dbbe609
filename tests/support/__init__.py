"""What several tests share: data of earlier releases, and how it is recorded."""
