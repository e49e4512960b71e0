# The most free room first, for either part: the hand-over paper's own router.
def order(ask, workers):
    return [w.id for w in sorted(workers, key = lambda w: -float(w.free) / w.room)]
