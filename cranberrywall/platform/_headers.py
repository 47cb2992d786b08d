"""Name the platform's headers, and say which of them are for whom."""

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
AUTHORIZATION = "Authorization"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
TOKEN_COUNTS = "X-Token-Counts"
PROMPT_PARTS = "X-Prompt-Prefix"
TENANT = "X-Tenant"
EXPECT_INSTANCE = "X-Expect-Instance"
INSTANCE_ID = "X-Instance-Id"
PRIORITY = "X-Request-Priority"
NOT_RUN = "X-Not-Run"
SERVER_LOAD = "X-Server-Load"
SERVER_LIMIT = "Server-Limit"
SERVER_BRITTLE = "Server-Brittle"
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"

KEY_SCHEME = "bearer "

SET_BY_US = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        PRIORITY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        "X-Expect-Version",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""What a caller sends under these names is dropped: the system sets them, or leaves them out."""

NEVER_PASSED_ON = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only, and the caller's key."""
