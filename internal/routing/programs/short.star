# The shortest queue first; among equals, one in the caller's zone, then affinity.
def order(ask, workers):
    return [w.id for w in sorted(workers, key = lambda w: (w.busy, w.zone != ask.zone, -w.affinity))]
