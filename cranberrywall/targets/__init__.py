"""Know the targets: announcements, health, load and cached prefixes."""
