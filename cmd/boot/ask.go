// How operators' programs ask a door: any of several, in turn, until one answers
// for good; each kind of no has an exit code of its own.

package boot

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"keelstair.example/creed"
	"keelstair.example/rein"
)

// Told is a door's no; its number is the exit code that operators know.
type Told struct {
	Exit int
	text string
}

func (t *Told) Error() string { return t.text }

// Doors checks a list of doors, given one by one or with commas.
func Doors(list *[]string) error {
	if len(*list) == 1 {
		*list = strings.Split((*list)[0], ",")
	}
	if len(*list) == 0 {
		return creed.Fault("doors", "at least one is needed (--doors or KEELSTAIR_DOORS)")
	}
	for _, d := range *list {
		if err := creed.Addr("doors", d); err != nil {
			return err
		}
	}
	return nil
}

// Ask tries doors in turn until one answers for good.
func Ask(doors []string, method, path string, in, out any) error {
	web := &http.Client{Timeout: 8 * time.Second}
	var last error
	for _, d := range doors {
		var body io.Reader
		if in != nil {
			b, err := json.Marshal(in)
			if err != nil {
				return err
			}
			body = bytes.NewReader(b)
		}
		q, err := http.NewRequest(method, "http://"+d+path, body)
		if err != nil {
			return err
		}
		r, err := web.Do(q)
		if err != nil {
			last = err
			continue
		}
		b, err := io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil {
			last = err
			continue
		}
		if r.StatusCode == http.StatusOK {
			return json.Unmarshal(b, out)
		}
		var f struct{ Error rein.Bounce }
		json.Unmarshal(b, &f)
		text := strings.TrimSpace(f.Error.Name + " " + f.Error.Field + ": " + f.Error.Detail)
		switch r.StatusCode {
		case http.StatusServiceUnavailable:
			last = &Told{4, text}
			continue
		case http.StatusConflict:
			return &Told{3, text}
		case http.StatusGatewayTimeout:
			return &Told{5, text}
		}
		return &Told{2, text}
	}
	return last
}
