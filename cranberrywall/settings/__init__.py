"""Read and check the one settings file of a process."""

from cranberrywall.settings._settings import Listen, Log, Remote, Settings

__all__ = ["Listen", "Log", "Remote", "Settings"]
