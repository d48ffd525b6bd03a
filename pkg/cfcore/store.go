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
	// StoreRejected is a call that had no effect and will have none.
	StoreRejected StoreKind = "rejected"
	// StoreOutcomeUnknown is a call without a response, or with a response that does not
	// show whether the call took effect. The call may have taken effect, or may still
	// take effect later.
	StoreOutcomeUnknown StoreKind = "outcome unknown"
	// StoreConflict is a conditional append at an offset that is not the partition's end.
	StoreConflict StoreKind = "conflict"
	// StoreFenced is an append by a producer whose epoch is not the newest.
	StoreFenced StoreKind = "fenced"
	// StoreSequence is an append whose sequence number does not follow the producer's last one.
	StoreSequence StoreKind = "out of sequence"
	// StoreExpired is a read from an offset that the store no longer has.
	StoreExpired StoreKind = "expired"
	// StoreBadAnswer is a response that cannot be decoded.
	StoreBadAnswer StoreKind = "bad answer"
)

// StoreError is the error type of all implementations of Store.
type StoreError = cferror.Error[StoreKind]

// Topic is one partition of a topic of the store.
type Topic struct {
	Name      string
	Partition int
}

// KeyedRecord is one record of a compacted topic, which keeps the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is empty if the record deletes the key.
	Value []byte
	// Offset is the record's offset. It is set only in records that were read.
	Offset int64
}

// Producer identifies a sequence of appends. An append with a newer epoch fences all appends
// with older epochs. A duplicate append takes effect only once.
type Producer struct {
	Name     string
	Epoch    Epoch
	Sequence uint64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	// At is the required end offset of the partition before the append; nil for no condition.
	At *int64
	// Producer is nil for an append without fencing.
	Producer *Producer
}

// StorePage is the result of one read.
type StorePage struct {
	// Next is the offset from which to continue reading.
	Next int64
	// End is the offset that the next append gets.
	End     int64
	Records []KeyedRecord
	// Skipped is the number of records that cannot be decoded.
	Skipped int
}

// NewestPage is one page of the newest records of all keys. Several pages together are not a
// consistent snapshot.
type NewestPage struct {
	Records []KeyedRecord
	// More is set if further pages follow.
	More bool
	// End is the end offset of the partition when the page was read.
	End int64
}

// Store accesses the keyed topics of the platform's store. Acknowledged appends are
// durable. Offsets start at 0.
type Store interface {
	// Append adds the records atomically and returns the offset after the last one.
	Append(ctx context.Context, t Topic, records []KeyedRecord, o AppendOptions) (int64, error)
	// Read returns records starting at offset from. It waits up to wait for the first one.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (StorePage, error)
	// Newest returns a page of the newest records of the keys after the given key. With an empty
	// key, it returns the first page.
	Newest(ctx context.Context, t Topic, after string) (NewestPage, error)
}
