// What a loss of power leaves of a real folder. A PowerLoss follows a folder from
// one sync to the next and then makes the states that may be left: each name that
// was added, changed or removed since its folder was synced is kept or lost by
// itself, and the content of each file that wasn't synced is old, new, torn, or
// has a hole of zeros.

package sham

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"syscall"
)

type inode uint64

// fileState is the content of a file, or the names in a folder.
type fileState struct {
	folder bool
	body   []byte
	names  map[string]inode
}

// PowerLoss follows one folder.
type PowerLoss struct {
	root    string
	top     inode
	durable map[inode]fileState
	// Every file seen is held open, so that no inode is used again for another.
	held map[inode]*os.File
}

// NewPowerLoss takes all that the folder holds now as durable.
func NewPowerLoss(root string) (*PowerLoss, error) {
	p := &PowerLoss{root: root, held: map[inode]*os.File{}}
	var err error
	p.durable, err = p.scan()
	return p, err
}

// Close lets go of the files that were seen.
func (p *PowerLoss) Close() {
	for _, f := range p.held {
		f.Close()
	}
}

// scan reads the folder as it is to processes now.
func (p *PowerLoss) scan() (map[inode]fileState, error) {
	live := map[inode]fileState{}
	top, err := p.scanPath(p.root, live)
	p.top = top
	return live, err
}

func (p *PowerLoss) scanPath(path string, live map[inode]fileState) (inode, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	number := inode(info.Sys().(*syscall.Stat_t).Ino)
	if p.held[number] == nil {
		if p.held[number], err = os.Open(path); err != nil {
			return 0, err
		}
	}
	if !info.IsDir() {
		body, err := os.ReadFile(path)
		live[number] = fileState{body: body}
		return number, err
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	state := fileState{folder: true, names: map[string]inode{}}
	for _, entry := range entries {
		child, err := p.scanPath(filepath.Join(path, entry.Name()), live)
		if err != nil {
			return 0, err
		}
		state.names[entry.Name()] = child
	}
	live[number] = state
	return number, nil
}

// Choose picks one of n ways; 0 is always what was synced, n-1 what is there now.
type Choose func(n int) int

// BeforeSync is called before a file or folder is synced. It calls visit with
// a function that makes one state that a loss of power may leave until then, in an
// empty folder; afterwards what is synced counts as durable.
func (p *PowerLoss) BeforeSync(path string, visit func(make func(dir string, choose Choose) error)) error {
	live, err := p.scan()
	if err != nil {
		return err
	}
	visit(func(dir string, choose Choose) error { return p.write(dir, p.top, live, choose) })
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	number := inode(info.Sys().(*syscall.Stat_t).Ino)
	p.durable[number] = live[number]
	return nil
}

// write makes a state of one folder and all below it.
func (p *PowerLoss) write(dir string, number inode, live map[inode]fileState, choose Choose) error {
	old, now := p.durable[number].names, live[number].names
	for _, name := range unionOf(old, now) {
		child := old[name]
		if after := now[name]; after != child && choose(2) == 1 {
			child = after
		}
		if child == 0 {
			continue
		}
		path := filepath.Join(dir, name)
		if p.isFolder(child, live) {
			if err := os.Mkdir(path, 0o755); err != nil {
				return err
			}
			if err := p.write(path, child, live, choose); err != nil {
				return err
			}
			continue
		}
		if err := os.WriteFile(path, p.body(child, live, choose), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (p *PowerLoss) isFolder(number inode, live map[inode]fileState) bool {
	return p.durable[number].folder || live[number].folder
}

func (p *PowerLoss) body(number inode, live map[inode]fileState, choose Choose) []byte {
	old := p.durable[number].body
	state, there := live[number]
	if now := state.body; there && !bytes.Equal(old, now) {
		return chooseBody(old, now, choose)
	}
	return old
}

// chooseBody gives a content between that which was synced and that which is there.
func chooseBody(old, now []byte, choose Choose) []byte {
	same := 0
	for same < min(len(old), len(now)) && old[same] == now[same] {
		same++
	}
	middle := (same + len(now)) / 2
	switch choose(4) {
	case 0:
		return old
	case 1:
		return now[:middle]
	case 2:
		hole := slices.Clone(now)
		clear(hole[same:middle])
		return hole
	}
	return now
}

func unionOf(a, b map[string]inode) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
