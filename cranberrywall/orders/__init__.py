"""Order engines to load, unload and change role, fenced and paced."""
