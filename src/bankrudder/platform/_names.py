"""Paths, header names and store locations of the platform."""

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
"""Name of the workspace; the value that a caller sent never reaches an endpoint."""

REMAINING_TIME_MS = "X-Request-Deadline"
"""Remaining time in milliseconds; despite its name not a point in time."""

EXPECTED_ENDPOINT = "X-Expect-Instance"
ENDPOINT_ID = "X-Instance-Id"
ENDPOINT_LOAD = "X-Server-Load"
NOT_RUN = "X-Not-Executed"
ANSWER_PROOF = "X-Response-Stamp"
"""Proof of which endpoint produced an answer; it is forwarded unchanged."""

WEIGHT_VERSION = "X-Weight-Versions"
"""A single integer, despite the plural in the header name."""

DUTY_HOLDER = "X-Duty-Holder"
FENCING_TOKEN = "X-Fencing-Token"

MAX_WAIT_MS = "X-Max-Wait"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Model"
PROMPT_PREFIX = "X-Prompt-Prefix"
TOKEN_COUNTS = "X-Token-Counts"
"""Number of prompt tokens and maximum number of generated tokens, comma-separated."""

LENGTH_HINT = "X-Length-Hint"
PRIORITY = "X-Request-Priority"
RETRY_AFTER = "Retry-After"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
NAMED_VERSION_PREFIX = "version/"
ENDPOINTS_TABLE = "servers"
