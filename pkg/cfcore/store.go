package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// StoreKind is the kind of a StoreError.
type StoreKind string

// The kinds of errors of a Store.
const (
	// StoreRejected is a call that had no effect, and never will.
	StoreRejected StoreKind = "rejected"
	// StoreUnknown is a call without an answer. It may have had its effect, or may
	// still have it later.
	StoreUnknown StoreKind = "outcome unknown"
	// StoreConflict is a conditional append at an offset that is not the end.
	StoreConflict StoreKind = "conflict"
	// StoreFenced is an append of a producer whose epoch is no longer the newest.
	StoreFenced StoreKind = "fenced"
	// StoreSequence is an append that does not follow the producer's last one.
	StoreSequence StoreKind = "out of sequence"
	// StoreExpired is a read from an offset that is no longer kept.
	StoreExpired StoreKind = "expired"
	// StoreBadAnswer is an answer that cannot be decoded.
	StoreBadAnswer StoreKind = "bad answer"
)

// StoreError is the error type of all implementations of Store.
type StoreError = cferror.Error[StoreKind]

// Topic is one partition of a topic of the store.
type Topic struct {
	Name      string
	Partition int
}

// KeyedRecord is one record of a topic that keeps the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is empty where the key is dropped.
	Value []byte
	// Offset is set in what is read.
	Offset int64
}

// Producer identifies a sequence of appends. An append with a newer epoch fences
// off all appends of older ones; a repeated append takes effect once.
type Producer struct {
	Name     string
	Epoch    Epoch
	Sequence uint64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	// At is the offset at which the partition must end; nil for no condition.
	At *int64
	// Producer is nil for an append without fencing.
	Producer *Producer
}

// StorePage is the answer to one read.
type StorePage struct {
	// Next is the offset to read from next.
	Next int64
	// End is the offset that the next append gets.
	End     int64
	Records []KeyedRecord
	// Skipped is the number of records that cannot be decoded.
	Skipped int
}

// NewestPage is a part of the newest records of all keys. Pages are no snapshot.
type NewestPage struct {
	Records []KeyedRecord
	More    bool
	// End is the end of the partition when the page was read.
	End int64
}

// Store is the platform's store, as far as topics with keys go. Acknowledged
// appends last; offsets begin at 0.
type Store interface {
	// Append adds records, all or none, and returns the offset after the last one.
	Append(ctx context.Context, t Topic, records []KeyedRecord, o AppendOptions) (int64, error)
	// Read returns records from an offset on. It waits up to wait for the first one.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (StorePage, error)
	// Newest returns the newest record of each key after the given key.
	Newest(ctx context.Context, t Topic, after string) (NewestPage, error)
}
