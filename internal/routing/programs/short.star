# Orders workers by the fewest outstanding requests; ties go to a worker in the caller's zone, then
# to the highest affinity.
def order(ask, workers):
    return [w.id for w in sorted(workers, key = lambda w: (w.busy, w.zone != ask.zone, -w.affinity))]
