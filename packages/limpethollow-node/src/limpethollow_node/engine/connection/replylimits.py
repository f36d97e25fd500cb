"""Limits on the size of replies, so that a faulty server can't exhaust this instance's memory."""

from dataclasses import dataclass
from enum import Enum

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics

# Bytes of a head, including interim replies. Received bytes are counted per piece, so up to one
# piece more is accepted.
MAX_HEAD_BYTES = 16 * 1024
# All bytes of a reply except those of its body: head, chunk lines and trailers. A chunk costs at
# least five of these. Without the limit, a reply in chunks of two bytes kept the event loop busy
# for 0.2 s. A body of 1 MB may have chunks of 50 bytes and more.
MAX_FRAMING_BYTES = 128 * 1024
# Received data is parsed in pieces of at most this size, between which the limits are checked.
PIECE_BYTES = 16 * 1024
# A header costs about 160 bytes of memory, but may take only four bytes on the wire.
MAX_HEADERS = 512


class ReplyLimit(Enum):
    """The limits of a reply, as they are named in events and metrics.

    Attributes:
        HEAD: Bytes or number of headers, from the first byte up to the end of the final head.
        FRAMING: Bytes that are not part of the body, such as chunk lines and trailers.
        BODY: Bytes of the body.
        TIME: The request's deadline passed in the middle of a reply.
    """

    HEAD = "head"
    FRAMING = "framing"
    BODY = "body"
    TIME = "time"


@dataclass(slots=True, frozen=True)
class ReplyLimits:
    """Limits on one server's replies.

    Attributes:
        body_bytes: Largest accepted body.
    """

    body_bytes: int


# Valid replies have up to 1 MB. 40 bodies of this size, in buffers that are an eighth larger, take
# 71 MB of an instance's 200 MB.
SEARCHER_LIMITS = ReplyLimits(body_bytes=3 * 512 * 1024)
# A watch answer may contain several objects of up to 1 MB each. The six connections to the store
# together hold at most 54 MB.
STORE_LIMITS = ReplyLimits(body_bytes=8 * 1024 * 1024)


def report_exceeded(metrics: Metrics, server: str, limit: ReplyLimit) -> None:
    """Log and count a reply that was cut off at a limit.

    Args:
        metrics: The process's metrics.
        server: Id of the searcher, or the server's kind.
        limit: The limit.
    """
    metrics.count("replies_cut_off", limit.value)
    events.REPLY_CUT_OFF.log(searcher=server, limit=limit.value)
