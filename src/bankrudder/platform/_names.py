"""Paths and header names of the platform, in one place."""

ORDERS_PATH = "/bankrudder/order"
STATE_PATH = "/bankrudder/report"
SUPPLY_PATH = "/scale"
USAGE_PATH = "/usage"
READINESS_PATH = "/bankrudder/readiness"
BATCH_PATH_PREFIX = "/bankrudder/lots/"
SAMPLE_PATH_PREFIX = "/bankrudder/items/"

COMMIT_PATH = "/bankrudder/rows-tx"
READ_PATH = "/bankrudder/rows-get"
FOLLOW_PATH = "/bankrudder/rows-feed"
PARTS_PATH = "/bankrudder/rows-parts"
PUT_OBJECT_PATH = "/bankrudder/blob-put/"
GET_OBJECT_PATH = "/bankrudder/blob-get/"
DROP_OBJECT_PATH = "/bankrudder/blob-drop/"

REQUEST_ID = "X-Request-Id"
AUTHORIZATION = "Authorization"
WORKSPACE = "X-Tenant"
"""Name of the workspace, set anew for endpoints whatever a caller sent."""

TIME_LEFT_MS = "X-Request-Deadline"
"""Milliseconds that are left, not a point in time."""

EXPECTED_ENDPOINT = "X-Expect-Instance"
ENDPOINT_ID = "X-Instance-Id"
ENDPOINT_LOAD = "X-Server-Load"
NOT_RUN = "X-Not-Executed"
ANSWER_PROOF = "X-Response-Stamp"
"""Proof of which endpoint made an answer; it is passed on untouched."""

WEIGHT_VERSION = "X-Weight-Versions"
"""One integer, in spite of its plural."""

HOLDER = "X-Duty-Holder"
FENCE = "X-Fencing-Token"

LONGEST_WAIT_MS = "X-Max-Wait"
LAST_EVENT = "Last-Event-Id"
MODEL = "X-Model"
PROMPT = "X-Prompt-Prefix"
TOKEN_COUNTS = "X-Token-Counts"
"""Tokens of the prompt and most tokens to generate, separated by a comma."""

LENGTH_HINT = "X-Length-Hint"
PRIORITY = "X-Request-Priority"
RETRY_AFTER = "Retry-After"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
NAMED_VERSION_PREFIX = "version/"
ENDPOINTS_TABLE = "servers"
