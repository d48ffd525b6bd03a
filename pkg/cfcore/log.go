package cfcore

import (
	"context"
	"time"
)

// LogEntry is one appended item of the platform's log. It is unrelated to the entry processes.
type LogEntry struct {
	Offset Offset
	Data   []byte
}

// LogPage is the result of one read of the log.
type LogPage struct {
	// First is the offset of the oldest entry that the log still has.
	First Offset
	// Next is the offset that the next append will get.
	Next    Offset
	Entries []LogEntry
}

// Log is the platform's append-only log. It has no conditional append, and the response to
// a successful append can get lost.
type Log interface {
	// Append adds data as one log entry and returns the entry's offset. An error does not
	// prove that the entry was not added.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns log entries starting at offset from. If there are none yet, Read waits for
	// a new one for at most the duration wait. If none is appended in that time, the page is
	// empty.
	Read(ctx context.Context, from Offset, wait time.Duration) (LogPage, error)
}
