// Simulation of power losses on a real directory. A PowerLoss tracks a directory from
// one sync to the next and generates the states that a power loss may leave: each name
// that was added, changed or removed since its directory was synced independently keeps
// its old or its new state, and the content of each unsynced file is old, new, truncated,
// or partly zero.

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

// fileState is the content of a file or the entries of a directory.
type fileState struct {
	isDir    bool
	content  []byte
	children map[string]inode
}

// PowerLoss tracks the durable state of one directory.
type PowerLoss struct {
	root      string
	rootInode inode
	durable   map[inode]fileState
	// Every file seen is kept open, so that its inode number is not reused for another file.
	openFiles map[inode]*os.File
	random    *rand.Rand
}

// NewPowerLoss tracks root and treats its present content as durable.
func NewPowerLoss(root string, seed uint64) (*PowerLoss, error) {
	p := &PowerLoss{root: root, openFiles: map[inode]*os.File{}, random: rand.New(rand.NewPCG(seed, 0))}
	var err error
	p.durable, err = p.scan()
	return p, err
}

// Close closes the files that PowerLoss keeps open.
func (p *PowerLoss) Close() {
	for _, f := range p.openFiles {
		f.Close()
	}
}

// scan reads the directory as processes see it now.
func (p *PowerLoss) scan() (map[inode]fileState, error) {
	current := map[inode]fileState{}
	ino, err := p.scanPath(p.root, current)
	p.rootInode = ino
	return current, err
}

func (p *PowerLoss) scanPath(path string, current map[inode]fileState) (inode, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	ino := inode(info.Sys().(*syscall.Stat_t).Ino)
	if p.openFiles[ino] == nil {
		if p.openFiles[ino], err = os.Open(path); err != nil {
			return 0, err
		}
	}
	if !info.IsDir() {
		content, err := os.ReadFile(path)
		current[ino] = fileState{content: content}
		return ino, err
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	state := fileState{isDir: true, children: map[string]inode{}}
	for _, entry := range entries {
		child, err := p.scanPath(filepath.Join(path, entry.Name()), current)
		if err != nil {
			return 0, err
		}
		state.children[entry.Name()] = child
	}
	current[ino] = state
	return ino, nil
}

// chooser returns one of n choices: 0 is the durable state, n-1 the current one.
type chooser func(n int) int

const (
	maxEnumeratedStates = 48 // states per sync that are enumerated in order
	randomStates        = 12 // additional random states if there are more
)

// BeforeSync must be called before a file or directory is synced. It generates the states
// that a power loss may leave at that point, each in a directory that exists while visit
// runs: the first ones in order, and some random ones if there are more. Afterwards it
// treats the file or directory as durable.
func (p *PowerLoss) BeforeSync(path string, visit func(dir string)) error {
	current, err := p.scan()
	if err != nil {
		return err
	}
	if err := p.eachState(current, visit); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	ino := inode(info.Sys().(*syscall.Stat_t).Ino)
	p.durable[ino] = current[ino]
	return nil
}

func (p *PowerLoss) eachState(current map[inode]fileState, visit func(dir string)) error {
	var choices, bounds []int
	for range maxEnumeratedStates {
		depth := 0
		err := p.visitState(current, visit, func(n int) int {
			if depth == len(choices) {
				choices, bounds = append(choices, 0), append(bounds, n)
			}
			depth++
			return choices[depth-1]
		})
		if err != nil {
			return err
		}
		for len(choices) > 0 && choices[len(choices)-1]+1 == bounds[len(choices)-1] {
			choices, bounds = choices[:len(choices)-1], bounds[:len(choices)-1]
		}
		if len(choices) == 0 {
			return nil
		}
		choices[len(choices)-1]++
	}
	for range randomStates {
		if err := p.visitState(current, visit, p.random.IntN); err != nil {
			return err
		}
	}
	return nil
}

func (p *PowerLoss) visitState(current map[inode]fileState, visit func(dir string), choose chooser) error {
	dir, err := os.MkdirTemp("", "powerloss")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := p.writeState(dir, p.rootInode, current, choose); err != nil {
		return err
	}
	visit(dir)
	return nil
}

// writeState writes one possible state of a directory and everything below it to dir.
func (p *PowerLoss) writeState(dir string, ino inode, current map[inode]fileState, choose chooser) error {
	previous, now := p.durable[ino].children, current[ino].children
	for _, name := range unionOfNames(previous, now) {
		child := previous[name]
		if currentChild := now[name]; currentChild != child && choose(2) == 1 {
			child = currentChild
		}
		if child == 0 {
			continue
		}
		path := filepath.Join(dir, name)
		if p.isDirectory(child, current) {
			if err := os.Mkdir(path, 0o755); err != nil {
				return err
			}
			if err := p.writeState(path, child, current, choose); err != nil {
				return err
			}
			continue
		}
		if err := os.WriteFile(path, p.chooseFileContent(child, current, choose), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (p *PowerLoss) isDirectory(ino inode, current map[inode]fileState) bool {
	return p.durable[ino].isDir || current[ino].isDir
}

func (p *PowerLoss) chooseFileContent(ino inode, current map[inode]fileState, choose chooser) []byte {
	previous := p.durable[ino].content
	state, exists := current[ino]
	if now := state.content; exists && !bytes.Equal(previous, now) {
		return chooseContent(previous, now, choose)
	}
	return previous
}

// chooseContent returns the previous content, the current content, or a partial write of it.
func chooseContent(previous, now []byte, choose chooser) []byte {
	common := 0
	for common < min(len(previous), len(now)) && previous[common] == now[common] {
		common++
	}
	middle := (common + len(now)) / 2
	switch choose(4) {
	case 0:
		return previous
	case 1:
		return now[:middle]
	case 2:
		hole := slices.Clone(now)
		clear(hole[common:middle])
		return hole
	}
	return now
}

func unionOfNames(a, b map[string]inode) []string {
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
