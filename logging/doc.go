// Package logging keeps recent log lines and events of a process in bounded memory: a ring
// buffer of log lines, which is written out only when an error is logged (warnings are written
// out immediately), and a journal of typed events from which views are computed.
package logging
