// To tolerate the loss of n machines, a record names n backups besides the primary and 2n+1 voters, so
// that after n losses one copy of the data and a majority of the registers are left.

package coordination

import "keelstair.example/ids"

// faultTolerance returns how many machines may be lost at once.
func (r Record) faultTolerance() int { return max(1, (len(r.Voters)-1)/2) }

// backups returns all backups. Each of them syncs an entry before the command is answered.
func (r Record) backups() []Replica {
	if r.Backup.Disk == "" {
		return nil
	}
	return append([]Replica{r.Backup}, r.MoreBackups...)
}

// setBackups sets the backups in the order of their rank.
func (r *Record) setBackups(list []Replica) {
	r.Backup, r.MoreBackups = Replica{}, nil
	if len(list) > 0 {
		r.Backup, r.MoreBackups = list[0], append([]Replica(nil), list[1:]...)
	}
}

// backupRank returns the rank of a backup, counted from 0, or -1 if the disk is no backup.
func (r Record) backupRank(d ids.DiskID) int {
	for i, s := range r.backups() {
		if s.Disk == d {
			return i
		}
	}
	return -1
}

// voterSets returns the sets of replicas, of each of which a ballot for this record needs a majority: the
// voters and, while a change of the voters is not known to be decided, the outgoing voters (joint
// consensus). Any two ballots thus share a register.
func (r Record) voterSets() [][]Replica {
	if len(r.OutgoingVoters) == 0 {
		return [][]Replica{r.Voters}
	}
	return [][]Replica{r.Voters, r.OutgoingVoters}
}

// allVoters returns the replicas of all voter sets, each once.
func (r Record) allVoters() []Replica {
	out := append([]Replica(nil), r.Voters...)
	for _, s := range r.OutgoingVoters {
		if !containsDisk(out, s.Disk) {
			out = append(out, s)
		}
	}
	return out
}

// decidedBy reports whether the replicas that accepted the record include a majority of each voter set.
func (r Record) decidedBy(accepted []Replica) bool {
	for _, set := range r.voterSets() {
		if !isMajority(set, accepted) {
			return false
		}
	}
	return true
}

// spreadOverZones returns n of the replicas, spread as evenly over the zones as possible and otherwise
// in the given order.
func spreadOverZones(list []Replica, n int) []Replica {
	var out []Replica
	perZone := map[ids.Zone]int{}
	for limit := 1; len(out) < n; limit++ {
		for _, s := range list {
			if len(out) < n && perZone[s.Zone] < limit && !containsDisk(out, s.Disk) {
				perZone[s.Zone]++
				out = append(out, s)
			}
		}
	}
	return out
}
