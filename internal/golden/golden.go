// Package golden compares the encodings of messages and stored records with files that record their
// encodings in an earlier release. This ensures that a release can exchange messages with the earlier
// release during a rolling upgrade, and can read its data. Names of Go types and fields may change, but
// the encoded bytes may not.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// writeVariable is the environment variable that makes Check and CheckJSON write their files before
// they compare with them. It is used to record the encodings of new messages.
const writeVariable = "KEELSTAIR_GOLDEN_WRITE"

// Message is a value with generated MessagePack methods.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Check fills each message with values that depend only on the order of its fields, and compares
// its encoding with the line of that name in the file. The recorded bytes must also decode to an
// equal message. The file must contain one line "name hex" for each message, and no others.
func Check(t *testing.T, file string, messages map[string]Message) {
	t.Helper()
	names := slices.Sorted(maps.Keys(messages))
	if os.Getenv(writeVariable) != "" {
		write(t, file, names, messages)
	}
	recorded := read(t, file)
	require.Equal(t, slices.Sorted(maps.Keys(recorded)), names, "messages in the file and in the test")
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			message := messages[name]
			Fill(message)
			encoded, err := message.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, hex.EncodeToString(recorded[name]), hex.EncodeToString(encoded), "encoding")
			decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface().(Message)
			rest, err := decoded.UnmarshalMsg(recorded[name])
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, message, decoded, "message decoded from the file")
		})
	}
}

func write(t *testing.T, file string, names []string, messages map[string]Message) {
	t.Helper()
	var lines strings.Builder
	for _, name := range names {
		Fill(messages[name])
		encoded, err := messages[name].MarshalMsg(nil)
		require.NoError(t, err)
		fmt.Fprintf(&lines, "%s %s\n", name, hex.EncodeToString(encoded))
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
	require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o644))
}

func read(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	recorded := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), " ")
		require.True(t, found, "line %q", line)
		body, err := hex.DecodeString(digits)
		require.NoError(t, err)
		recorded[name] = body
	}
	return recorded
}

// CheckJSON fills a value as Check does and compares its JSON encoding with a file.
func CheckJSON(t *testing.T, file string, pointer any) {
	t.Helper()
	Fill(pointer)
	encoded, err := json.MarshalIndent(pointer, "", "\t")
	require.NoError(t, err)
	if os.Getenv(writeVariable) != "" {
		require.NoError(t, os.WriteFile(file, append(encoded, '\n'), 0o644))
	}
	recorded, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(recorded), string(encoded)+"\n")
}

// Fill sets every exported field that is reachable from a pointer to a struct to a value that is not zero, except
// for every integer whose number is a multiple of 100. Numbers increase in the order of the fields (integers modulo
// 100). Strings contain such a number. Slices get two elements, maps get one.
func Fill(pointer any) {
	next := 0
	fill(reflect.ValueOf(pointer).Elem(), &next)
}

func fill(value reflect.Value, next *int) {
	*next++
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), next)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), next)
		fill(value.Index(1), next)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), next)
		}
	case reflect.Interface:
		value.Set(reflect.ValueOf("any"))
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), next)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", *next))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*next % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*next % 100))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*next))
	default:
		panic(fmt.Sprintf("golden: no value for a field of kind %s", value.Kind()))
	}
}
