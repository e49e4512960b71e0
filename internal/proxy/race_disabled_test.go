//go:build !race

package proxy

// raceDetectorEnabled is whether the tests were built with the race detector.
const raceDetectorEnabled = false
