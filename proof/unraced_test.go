//go:build !race

package proof

const raced = false
