// The operators of a soak test of streams: one changes the document, others read it and check that its version never falls.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"keelstair.example/host"
	"keelstair.example/platform/workerstandin"
)

const (
	documentPause = 900 * time.Millisecond
	readPause     = 20 * time.Millisecond
	callTimeout   = time.Second
)

// documentReaders is what all operators together have seen.
type documentReaders struct {
	newest, reads, failed int
}

// changeDocument applies one version of the document after the other until the context ends.
func (s *streamSoak) changeDocument(ctx context.Context) {
	s.setVersion(1)
	for sent := 2; host.Sleep(ctx, documentPause); sent++ {
		if err := s.putDocument(s.version, sent); err == nil {
			s.setVersion(sent)
		}
	}
}

// setVersion records an acknowledged version.
func (s *streamSoak) setVersion(version int) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.version = version
	s.readers.newest = max(s.readers.newest, version)
}

// putDocument sends a version of the document that replaces another one to a random controller.
func (s *streamSoak) putDocument(base, version int) error {
	request, err := workerstandin.DocumentUpdate{
		Base: base, Version: version, Split: s.opt.Split > 0, Tenants: true,
	}.NewRequest(s.randomController())
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	return decodeResponse(response, err, nil)
}

func (s *streamSoak) randomController() string {
	return s.machines[rand.IntN(controllerCount)].ControlAddr
}

// readDocuments reads the document at random controllers until the context ends.
func (s *streamSoak) readDocuments(ctx context.Context) {
	client := http.Client{Timeout: callTimeout}
	for host.Sleep(ctx, readPause) {
		s.stateMu.Lock()
		known := s.readers.newest
		s.stateMu.Unlock()
		var document struct {
			Revision int `json:"revision"`
		}
		controller := s.randomController()
		response, err := client.Get("http://" + controller + "/configuration")
		err = decodeResponse(response, err, &document)
		s.recordRead(controller, known, document.Revision, err)
	}
}

// recordRead checks the version that a read returned against the newest one that was known before it began.
func (s *streamSoak) recordRead(controller string, known, version int, err error) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.readers.reads++
	switch {
	case err != nil:
		s.readers.failed++
	case version < known:
		s.violations = append(s.violations, fmt.Errorf("%s returned version %d after %d was known", controller, version, known))
	}
	if err == nil {
		s.readers.newest = max(s.readers.newest, version)
	}
}
