//go:build !race

package proxy

const raced = false
