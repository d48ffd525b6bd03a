package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// configWait is how long a read waits for another configuration. It bounds the time that
// a silent connection delays one; the platform allows 2 s and more for that.
const configWait = time.Second

const (
	// configPatience is how long this entry waits for a newer configuration from the store
	// before it asks the entry that has it. A read takes 10 ms, and 250 ms while the store
	// is slow; the platform allows 2 s and more until a configuration is in force.
	configPatience = 500 * time.Millisecond
	// configAskEvery is the time after which a configuration that has not come is asked for
	// again. It may have up to 256 KB, and a link 10 Mbit/s.
	configAskEvery = time.Second
)

// configuration is the operators' configuration with the record that it came in.
type configuration struct {
	*cfjob.Config
	value []byte
}

// configWatch is what the control goroutine knows of configurations of other entries.
type configWatch struct {
	// newest is the newest version that another entry has, holder the connection to that
	// entry, and since is when this entry heard of a version that it did not have.
	newest uint64
	holder *cfwire.Conn
	since  time.Time
	// asked is when another entry was last asked for its configuration.
	asked time.Time
}

// followConfig keeps the newest configuration that operators have written.
func (e *Entry) followConfig(ctx context.Context) error {
	topic := cfcore.Topic{Name: e.cfg.Operators}
	for ctx.Err() == nil {
		next, err := e.readConfig(ctx, topic)
		for err == nil && ctx.Err() == nil {
			next, err = e.awaitConfig(ctx, topic, next)
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(retryDelay):
		}
	}
	return ctx.Err()
}

func (e *Entry) readConfig(ctx context.Context, topic cfcore.Topic) (int64, error) {
	after, end := "", int64(-1)
	for {
		page, err := e.Store.Newest(ctx, topic, after)
		if err != nil {
			return 0, err
		}
		if end < 0 {
			end = page.End
		}
		for _, r := range page.Records {
			e.applyOperator(ctx, r)
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
	}
}

func (e *Entry) awaitConfig(ctx context.Context, topic cfcore.Topic, next int64) (int64, error) {
	page, err := e.Store.Read(ctx, topic, next, configWait)
	if err != nil {
		return 0, err
	}
	for _, r := range page.Records {
		e.applyOperator(ctx, r)
	}
	return page.Next, nil
}

// applyOperator takes in a record of the operators.
func (e *Entry) applyOperator(ctx context.Context, r cfcore.KeyedRecord) {
	if r.Key != e.ConfigKey {
		return
	}
	if err := e.configure(ctx, r.Value, "store"); err != nil {
		e.Log.Error().Err(err).Int64("Offset", r.Offset).Msg("configuration skipped: it cannot be decoded")
	}
}

// configure puts a configuration in force. A version that is not newer than the one in
// force changes nothing. from names where it came from.
func (e *Entry) configure(ctx context.Context, value []byte, from string) error {
	cfg, err := e.DecodeConfig(value)
	if err != nil {
		return err
	}
	if !e.replaceConfig(&configuration{Config: cfg, value: value}) {
		return nil
	}
	e.Log.Info().Uint64("Version", cfg.Version).Int("Queues", len(cfg.Queues)).Str("From", from).Msg("configuration in force")
	e.tell(ctx, configured{config: cfg})
	return nil
}

// replaceConfig reports whether a configuration is newer than the one in force, and
// replaces that. The store and other entries may bring one at the same time.
func (e *Entry) replaceConfig(next *configuration) bool {
	for {
		old := e.config.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if e.config.CompareAndSwap(old, next) {
			return true
		}
	}
}

// configVersion returns the version in force; 0 where there is none.
func (e *Entry) configVersion() uint64 {
	if cfg := e.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// sendConfig answers another entry that asks for a newer configuration than it has.
func (e *Entry) sendConfig(conn *cfwire.Conn, ask *cfwire.JobConfigAsk) {
	cfg := e.config.Load()
	if cfg == nil || cfg.Version <= ask.Above {
		return
	}
	if err := conn.Send(&cfwire.Message{JobConfig: &cfwire.JobConfig{Value: cfg.value}}); err != nil {
		e.Log.Warn().Err(err).Str("Entry", conn.Peer().Name).Uint64("Version", cfg.Version).Msg("configuration not sent to another entry")
	}
}

// takeConfig takes in the configuration of another entry.
func (e *Entry) takeConfig(ctx context.Context, conn *cfwire.Conn, m *cfwire.JobConfig) {
	if err := e.configure(ctx, m.Value, conn.Peer().Name); err != nil {
		e.Log.Error().Err(err).Str("Entry", conn.Peer().Name).Msg("configuration of another entry skipped: it cannot be decoded")
	}
}

// heardVersion takes in which version of the configuration another entry has in force.
// Only versions are told unasked, since a configuration may have 256 KB.
func (c *control) heardVersion(conn *cfwire.Conn, version uint64) {
	w := &c.configs
	if have := c.configVersion(); w.newest <= have {
		w.since = c.Clock.Now()
	}
	if version >= w.newest {
		w.newest, w.holder = version, conn
	}
}

// askConfig asks another entry for its newer configuration where the store does not bring
// it here: the store may turn only this entry away.
func (c *control) askConfig() {
	have, now := c.configVersion(), c.Clock.Now()
	w := &c.configs
	if w.newest <= have || now.Sub(w.since) < configPatience || now.Sub(w.asked) < configAskEvery {
		return
	}
	w.asked = now
	c.Log.Info().Str("Entry", w.holder.Peer().Name).Uint64("Have", have).Uint64("Version", w.newest).Msg("asking another entry for its newer configuration")
	if err := w.holder.Send(&cfwire.Message{JobConfigAsk: &cfwire.JobConfigAsk{Above: have}}); err != nil {
		c.Log.Debug().Err(err).Str("Entry", w.holder.Peer().Name).Msg("other entry not asked")
	}
}
