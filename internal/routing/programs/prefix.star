# For prefill, prefers the worker with the highest affinity for the prompt's prefix, where full
# affinity offsets three outstanding requests. For decode, orders workers by the share of free memory.
def order(ask, workers):
    if ask.part == "prefill":
        return [w.id for w in sorted(workers, key = lambda w: w.busy - 3.0 * w.affinity)]
    return [w.id for w in sorted(workers, key = lambda w: -float(w.free) / w.room)]
