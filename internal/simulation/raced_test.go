//go:build race

package simulation

const raced = true
