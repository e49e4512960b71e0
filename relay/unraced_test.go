//go:build !race

package relay

const raced = false
