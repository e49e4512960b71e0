// What a record says of how many machines may be lost: n backups beside the primary, and
// registers on 2n+1 machines, so that after n losses one copy of the data is left and a
// majority of the registers.

package coordination

import "keelstair.example/ids"

// faultTolerance is how many machines may be lost at once.
func (r Record) faultTolerance() int { return max(1, (len(r.Voters)-1)/2) }

// backups are all that take every entry before it is answered.
func (r Record) backups() []Replica {
	if r.Backup.Disk == "" {
		return nil
	}
	return append([]Replica{r.Backup}, r.MoreBackups...)
}

// setBackups names the backups.
func (r *Record) setBackups(list []Replica) {
	r.Backup, r.MoreBackups = Replica{}, nil
	if len(list) > 0 {
		r.Backup, r.MoreBackups = list[0], append([]Replica(nil), list[1:]...)
	}
}

// backupRank is the place of a backup, from 0 on, or -1.
func (r Record) backupRank(d ids.DiskID) int {
	for i, s := range r.backups() {
		if s.Disk == d {
			return i
		}
	}
	return -1
}

// quorums are the sets of replicas whose majorities a ballot for this record needs, each of
// them: the voters, and while a change of the voters is not known to be decided, those
// before it (joint consensus). So two ballots always share a register.
func (r Record) quorums() [][]Replica {
	if len(r.OutgoingVoters) == 0 {
		return [][]Replica{r.Voters}
	}
	return [][]Replica{r.Voters, r.OutgoingVoters}
}

// allVoters are the replicas of all its quorums, each once.
func (r Record) allVoters() []Replica {
	out := append([]Replica(nil), r.Voters...)
	for _, s := range r.OutgoingVoters {
		if !containsDisk(out, s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// decidedBy tells whether these replicas are a majority of each quorum.
func (r Record) decidedBy(yes []Replica) bool {
	for _, set := range r.quorums() {
		if !isMajority(set, yes) {
			return false
		}
	}
	return true
}

// spreadOverZones takes n of the replicas, as evenly from the zones as may be, in the order given.
func spreadOverZones(list []Replica, n int) []Replica {
	var out []Replica
	per := map[ids.Zone]int{}
	for limit := 1; len(out) < n; limit++ {
		for _, s := range list {
			if len(out) < n && per[s.Zone] < limit && !containsDisk(out, s.Disk) {
				per[s.Zone]++
				out = append(out, s)
			}
		}
	}
	return out
}
