// What a record says of how many machines may be lost: n backups beside the primary, and
// registers on 2n+1 machines, so that after n losses one copy of the data is left and a
// majority of the registers.

package coordination

import "keelstair.example/ids"

// losses is how many machines may be lost at once.
func (r Record) losses() int { return max(1, (len(r.Holders)-1)/2) }

// backups are all that take every entry before it is answered.
func (r Record) backups() []Replica {
	if r.Backup.Disk == "" {
		return nil
	}
	return append([]Replica{r.Backup}, r.Also...)
}

// follow names the backups.
func (r *Record) follow(list []Replica) {
	r.Backup, r.Also = Replica{}, nil
	if len(list) > 0 {
		r.Backup, r.Also = list[0], append([]Replica(nil), list[1:]...)
	}
}

// rank is the place of a backup, from 0 on, or -1.
func (r Record) rank(d ids.DiskID) int {
	for i, s := range r.backups() {
		if s.Disk == d {
			return i
		}
	}
	return -1
}

// quorums are the sets of replicas whose majorities a ballot for this record needs, each of
// them: the holders, and while a change of the holders is not known to be decided, those
// before it (joint consensus). So two ballots always share a register.
func (r Record) quorums() [][]Replica {
	if len(r.Before) == 0 {
		return [][]Replica{r.Holders}
	}
	return [][]Replica{r.Holders, r.Before}
}

// voters are the replicas of all its quorums, each once.
func (r Record) voters() []Replica {
	out := append([]Replica(nil), r.Holders...)
	for _, s := range r.Before {
		if !holds(out, s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// decidedBy tells whether these replicas are a majority of each quorum.
func (r Record) decidedBy(yes []Replica) bool {
	for _, set := range r.quorums() {
		if !most(set, yes) {
			return false
		}
	}
	return true
}

// spread takes n of the replicas, as evenly from the zones as may be, in the order given.
func spread(row []Replica, n int) []Replica {
	var out []Replica
	per := map[ids.Zone]int{}
	for most := 1; len(out) < n; most++ {
		for _, s := range row {
			if len(out) < n && per[s.Zone] < most && !holds(out, s.Disk) {
				per[s.Zone]++
				out = append(out, s)
			}
		}
	}
	return out
}
