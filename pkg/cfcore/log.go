package cfcore

import (
	"context"
	"time"
)

// LogEntry is one entry of the platform's log.
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
// a successful append may be lost.
type Log interface {
	// Append adds data as one entry and returns its offset. After an error the
	// entry may still have been added.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns entries starting at offset from. It waits up to wait for the first
	// entry, and returns an empty page if there is none by then.
	Read(ctx context.Context, from Offset, wait time.Duration) (LogPage, error)
}
