// Package logging keeps what a process has seen in bounded memory: a ring of log lines that
// is written out only when an error is logged (warnings are written out at once), and a journal
// of typed events from which views are computed.
package logging
