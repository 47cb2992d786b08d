"""Placeholder that runs the command given; the ground branch replaces it."""

import subprocess
import sys

sys.exit(subprocess.call(sys.argv[1:]))
