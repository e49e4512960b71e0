// What a loss of power leaves of a real folder. A PowerLoss follows a folder from
// one sync to the next and then makes the states that may be left: each name that
// was added, changed or removed since its folder was synced is kept or lost by
// itself, and the content of each file that wasn't synced is old, new, torn, or
// has a hole of zeros.

package simulated

import (
	"bytes"
	"math/rand/v2"
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
	root      string
	rootInode inode
	durable   map[inode]fileState
	// Every file seen is held open, so that no inode is used again for another.
	openFiles map[inode]*os.File
	random    *rand.Rand
}

// NewPowerLoss takes all that the folder holds now as durable.
func NewPowerLoss(root string, seed uint64) (*PowerLoss, error) {
	p := &PowerLoss{root: root, openFiles: map[inode]*os.File{}, random: rand.New(rand.NewPCG(seed, 0))}
	var err error
	p.durable, err = p.scan()
	return p, err
}

// Close lets go of the files that were seen.
func (p *PowerLoss) Close() {
	for _, f := range p.openFiles {
		f.Close()
	}
}

// scan reads the folder as it is to processes now.
func (p *PowerLoss) scan() (map[inode]fileState, error) {
	live := map[inode]fileState{}
	top, err := p.scanPath(p.root, live)
	p.rootInode = top
	return live, err
}

func (p *PowerLoss) scanPath(path string, live map[inode]fileState) (inode, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	number := inode(info.Sys().(*syscall.Stat_t).Ino)
	if p.openFiles[number] == nil {
		if p.openFiles[number], err = os.Open(path); err != nil {
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

// chooser picks one of n ways; 0 is always what was synced, n-1 what is there now.
type chooser func(n int) int

const (
	statesInOrder = 48 // of one moment, counted through
	statesDrawn   = 12 // besides, if there are more
)

// BeforeSync is called before a file or folder is synced. It makes the states that
// a loss of power may leave until then, each in a folder that exists while visit
// runs: the first ones in order, and if there are more, some drawn by chance.
// Afterwards what is synced counts as durable.
func (p *PowerLoss) BeforeSync(path string, visit func(dir string)) error {
	live, err := p.scan()
	if err != nil {
		return err
	}
	if err := p.eachState(live, visit); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	number := inode(info.Sys().(*syscall.Stat_t).Ino)
	p.durable[number] = live[number]
	return nil
}

func (p *PowerLoss) eachState(live map[inode]fileState, visit func(dir string)) error {
	var path, bounds []int
	for range statesInOrder {
		at := 0
		err := p.visitState(live, visit, func(n int) int {
			if at == len(path) {
				path, bounds = append(path, 0), append(bounds, n)
			}
			at++
			return path[at-1]
		})
		if err != nil {
			return err
		}
		for len(path) > 0 && path[len(path)-1]+1 == bounds[len(path)-1] {
			path, bounds = path[:len(path)-1], bounds[:len(path)-1]
		}
		if len(path) == 0 {
			return nil
		}
		path[len(path)-1]++
	}
	for range statesDrawn {
		if err := p.visitState(live, visit, p.random.IntN); err != nil {
			return err
		}
	}
	return nil
}

func (p *PowerLoss) visitState(live map[inode]fileState, visit func(dir string), choose chooser) error {
	dir, err := os.MkdirTemp("", "powerloss")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := p.write(dir, p.rootInode, live, choose); err != nil {
		return err
	}
	visit(dir)
	return nil
}

// write makes a state of one folder and all below it.
func (p *PowerLoss) write(dir string, number inode, live map[inode]fileState, choose chooser) error {
	previous, now := p.durable[number].names, live[number].names
	for _, name := range unionOf(previous, now) {
		child := previous[name]
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

func (p *PowerLoss) body(number inode, live map[inode]fileState, choose chooser) []byte {
	previous := p.durable[number].body
	state, there := live[number]
	if now := state.body; there && !bytes.Equal(previous, now) {
		return chooseBody(previous, now, choose)
	}
	return previous
}

// chooseBody gives a content between that which was synced and that which is there.
func chooseBody(previous, now []byte, choose chooser) []byte {
	same := 0
	for same < min(len(previous), len(now)) && previous[same] == now[same] {
		same++
	}
	middle := (same + len(now)) / 2
	switch choose(4) {
	case 0:
		return previous
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
