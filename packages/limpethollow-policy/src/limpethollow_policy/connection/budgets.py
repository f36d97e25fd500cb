"""How many connections and slots of a searcher one owner instance may use."""

from limpethollow_wire.services import SearcherSpec

DISAGREEING_OWNERS = 4


def connections_per_searcher(searcher: SearcherSpec) -> int:
    """Return the connections that one instance may open to a searcher.

    Instances that see different lists may own the same group at once. With a quarter of the limit
    each, four of them still fit.
    """
    return max(1, searcher.connections // DISAGREEING_OWNERS)


def slots_per_owner(searcher: SearcherSpec, owners: int) -> int:
    """Return the calls that one active owner may have on their way to a searcher.

    One connection of the budget is left for inventory and cancel calls, which take no slot.
    """
    share = max(1, searcher.slots // owners)
    return max(1, min(share, connections_per_searcher(searcher) - 1))
