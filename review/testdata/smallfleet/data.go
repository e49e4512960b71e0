// The words of the platform, and the texts of its settings and documents, from data files beside this one.

package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
)

//go:embed *.json settings.txt
var files embed.FS

// words are the platform's names, by what they name.
var words = readWords()

func readWords() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal([]byte(text("words.json")), &out); err != nil {
		panic(err)
	}
	return out
}

// text returns a data file.
func text(name string) string {
	body, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return string(body)
}

// fill replaces the {names} in a data file by values, which follow their names.
func fill(name string, pairs ...any) string {
	out := strings.TrimSpace(text(name)) + "\n"
	for i := 0; i+1 < len(pairs); i += 2 {
		out = strings.ReplaceAll(out, fmt.Sprintf("{%v}", pairs[i]), fmt.Sprint(pairs[i+1]))
	}
	return out
}
