# For prefill, the worker that the prompt's prefix falls to, unless it is busier
# than the least busy by more than the affinity is worth. For decode, free room.
def order(ask, workers):
    if ask.part == "prefill":
        return [w.id for w in sorted(workers, key = lambda w: w.busy - 3.0 * w.affinity)]
    return [w.id for w in sorted(workers, key = lambda w: -float(w.free) / w.room)]
