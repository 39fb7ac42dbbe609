"""A disk for real processes that loses what was not synced when its process is killed, as a power loss would.

What is appended stays in this process's memory until it is synced. A file `FOLDER.room` beside the data folder caps
what may still be written, so that a full disk is met without filling the machine's.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.runtime.disk import RealDisk


@dataclass
class BrittleDisk(RealDisk):
    """Invariant: the file holds what was synced; `tails` holds what was not."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.tails: dict[str, bytearray] = {}

    def spare(self) -> int | None:
        """What may still be written, if a file beside the folder says so: its content, less what came since."""
        mark = self.root.with_name(self.root.name + ".room")
        try:
            left, base = mark.read_text().split()
        except (OSError, ValueError):
            return None
        return int(left) - (self.used - int(base))

    def names(self) -> list[str]:
        """All files, those that were never synced among them."""
        return sorted({*super().names(), *self.tails})

    def read(self, name: str) -> bytes:
        """What was synced, and after it what was not."""
        data = super().read(name) if (self.root / name).exists() else b""
        return data + bytes(self.tails.get(name, b""))

    def append(self, name: str, data: bytes) -> None:
        """Keeps the bytes in memory until they are synced; refuses them where the disk is full."""
        spare = self.spare()
        if (spare is not None and len(data) > spare) or (self.capacity and self.used + len(data) > self.capacity):
            raise OSError(28, "No space left on this disk")
        self.tails.setdefault(name, bytearray()).extend(data)
        self.used += len(data)

    def _settle(self, name: str) -> None:
        tail = self.tails.pop(name, None)
        if tail:
            used = self.used
            super().append(name, bytes(tail))
            self.used = used

    async def sync(self, name: str) -> None:
        """Writes what was appended to the file, and syncs that."""
        self._settle(name)
        await super().sync(name)

    def truncate(self, name: str, size: int) -> None:
        """Writes what was appended, and cuts the file."""
        self._settle(name)
        super().truncate(name, size)

    def remove(self, name: str) -> None:
        """Removes the file with what was appended to it."""
        self._settle(name)
        super().remove(name)

    def rename(self, name: str, new: str) -> None:
        """Writes what was appended, and gives the file another name."""
        self._settle(name)
        super().rename(name, new)

    def space(self) -> tuple[int, int]:
        """Free bytes and all bytes, as the file beside the folder says if there is one."""
        spare = self.spare()
        free, whole = super().space()
        return (free, whole) if spare is None else (max(spare, 0), self.used + max(spare, 0))
