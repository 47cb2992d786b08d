"""Route requests to targets within prepaid token budgets."""

__version__ = "0.1.0"

import time

STARTED_CLOCK = time.monotonic()
"""The steady clock as this process began to import the package: about when it was started."""

STARTED_PROCESSOR_S = time.process_time()
"""The processor time that was counted by then; some platforms don't count it from 0."""
