//go:build !race

package proxy

const raceDetectorEnabled = false
