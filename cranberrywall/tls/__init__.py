"""Keep this process's certificates in force, and take up new ones without a restart.

``tls.authority`` makes certificates; programs that only use them don't import it.
"""

from cranberrywall.tls._keeper import TlsKeeper, look_again_on_signal, make_tls_keeper

__all__ = ["TlsKeeper", "look_again_on_signal", "make_tls_keeper"]
