package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// StoreKind says why a call of a Store failed.
type StoreKind string

const (
	// StoreRejected means that the call had no effect and will have none.
	StoreRejected StoreKind = "rejected"
	// StoreOutcomeUnknown means that the call got no response, or a response that does not show
	// whether the call took effect. The call can also still take effect later.
	StoreOutcomeUnknown StoreKind = "outcome unknown"
	// StoreConflict means that the offset of a conditional append is not the partition's end.
	StoreConflict StoreKind = "conflict"
	// StoreFenced means that the epoch of an append's producer is not the newest.
	StoreFenced StoreKind = "fenced"
	// StoreSequence means that the sequence number of an append does not follow the producer's
	// last one.
	StoreSequence StoreKind = "out of sequence"
	// StoreExpired means that a read starts at an offset that the store no longer has.
	StoreExpired StoreKind = "expired"
	// StoreBadAnswer means that the response to a read cannot be decoded.
	StoreBadAnswer StoreKind = "bad answer"
)

// StoreError is the error type of all implementations of Store.
type StoreError = cferror.Error[StoreKind]

// Topic is one partition of a topic of the store.
type Topic struct {
	Name      string
	Partition int
}

// KeyedRecord is one record of a compacted topic. Such a topic keeps the newest record of each
// key.
type KeyedRecord struct {
	Key string
	// Value is empty if the record deletes the key.
	Value []byte
	// Offset is the record's offset. It is set only in records that were read.
	Offset int64
}

// Producer identifies one append of a named producer. After an append with a newer epoch, the
// store rejects the producer's appends with older epochs. An append that is repeated with the
// same epoch and sequence number takes effect only once.
type Producer struct {
	Name     string
	Epoch    Epoch
	Sequence uint64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	// At is the end offset that the partition must have before the append; nil for no
	// condition.
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
	// Skipped is the number of records that are left out because they cannot be decoded.
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
	// Skipped is the number of records that are left out because they cannot be decoded.
	Skipped int
}

// Store accesses the keyed topics of the platform's store. Acknowledged appends are
// durable. Offsets start at 0.
type Store interface {
	// Append adds the records atomically and returns the offset after the last one.
	Append(ctx context.Context, t Topic, records []KeyedRecord, o AppendOptions) (int64, error)
	// Read returns records starting at offset from. If there are none yet, Read waits for a
	// new one for at most the duration wait. If none is appended in that time, the page is
	// empty.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (StorePage, error)
	// Newest returns one page of the newest records of all keys. The page starts after the
	// given key, or at the first key if the given key is empty.
	Newest(ctx context.Context, t Topic, after string) (NewestPage, error)
}
