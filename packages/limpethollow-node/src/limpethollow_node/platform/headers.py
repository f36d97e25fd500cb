"""Names of the platform's HTTP headers."""

from limpethollow_node.engine.messages import HeaderNames
from limpethollow_node.platform.codec import decode_load

HEADERS = HeaderNames(
    request_id=b"x-limpethollow-request-id",
    time_left=b"x-limpethollow-deadline-ms",
    expected_searcher=b"x-limpethollow-expect-instance",
    proof=b"x-limpethollow-server-stamp",
    not_run=b"x-limpethollow-not-executed",
    part_proofs=b"x-limpethollow-part-stamps",
    missing_parts=b"x-limpethollow-missing-parts",
    load=b"x-limpethollow-server-load",
    decode_load=decode_load,
    tenant=b"x-limpethollow-tenant",
    key=b"authorization",
    key_scheme=b"token",
    cold_left=b"x-limpethollow-cold-ms",
)
