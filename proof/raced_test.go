//go:build race

package proof

const raced = true
