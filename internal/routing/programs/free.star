# Orders workers by the share of free memory, most first, for both roles, as
# does the router of the paper that the hand-over follows.
def order(ask, workers):
    return [w.id for w in sorted(workers, key = lambda w: -float(w.free) / w.room)]
