package cfjobentry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
)

// unreadableStore is a store with a record at offset 0 that cannot be read. Its newest
// records of all keys can be read.
type unreadableStore struct{ cfcore.Store }

func (unreadableStore) Read(_ context.Context, _ cfcore.Topic, from int64, _ time.Duration) (cfcore.StorePage, error) {
	if from == 0 {
		return cfcore.StorePage{}, cferror.New("read", cfcore.StoreBadAnswer, "record exceeds the page")
	}
	return cfcore.StorePage{Next: from, End: from}, nil
}

func (unreadableStore) Newest(context.Context, cfcore.Topic, string) (cfcore.NewestPage, error) {
	return cfcore.NewestPage{End: 1, Skipped: 1}, nil
}

// A record that cannot be read must not end the reading of the store.
func TestReaderPassesUnreadableRecord(t *testing.T) {
	g := NewWithT(t)
	codec, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	c := newControl(&Entry{
		Common: &cfcommon.Common{Log: zerolog.Nop(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope, Codec: codec},
		Deps:   Deps{Store: unreadableStore{}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	c.tail(ctx, 0)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the caller reads the whole store again")
	stored, err := c.restore(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Next).To(BeEquivalentTo(1))
}
