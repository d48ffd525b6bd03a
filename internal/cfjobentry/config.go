package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

const (
	// configWait is how long a read waits for another configuration. It bounds the time that
	// a silent connection delays one; the platform allows 2 s and more for that.
	configWait = time.Second
	// configPatience is how long this entry waits for a newer configuration from a store that
	// answers it, before it asks the entry that has it. A read takes 10 ms, and 250 ms while the store
	// is slow; the platform allows 2 s and more until a configuration is in force.
	configPatience = 500 * time.Millisecond
	// configAskEvery is the time after which a part that has not come is asked for again.
	configAskEvery = time.Second
	// configPartBytes bounds a part: it takes 66 ms over a link of 2 Mbit/s, so that the
	// messages behind it are not taken for the silence of a lost connection.
	configPartBytes = 16 << 10
	// maxConfigBytes bounds a whole configuration; the platform allows 256 KB.
	maxConfigBytes = 1 << 20
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
	// value is what has come of the configuration version.
	version uint64
	value   []byte
}

// followConfig keeps the newest configuration that operators have written.
func (e *Entry) followConfig(ctx context.Context) error {
	topic := cfcore.Topic{Name: e.cfg.Operators}
	failing := false
	for ctx.Err() == nil {
		next, err := e.readConfig(ctx, topic)
		for err == nil && ctx.Err() == nil {
			failing = false
			next, err = e.awaitConfig(ctx, topic, next)
		}
		if !failing && ctx.Err() == nil {
			failing = true
			e.Log.Warn().Err(err).Uint64("Version", e.configVersion()).Msg("configuration not read; trying again")
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

// sendConfig sends another entry the part of the configuration that it asks for.
func (e *Entry) sendConfig(conn *cfwire.Conn, ask *cfwire.JobConfigAsk) {
	cfg := e.config.Load()
	if cfg == nil || cfg.Version <= ask.Above || ask.From < 0 || ask.From > len(cfg.value) {
		return
	}
	part := cfg.value[ask.From:min(ask.From+configPartBytes, len(cfg.value))]
	m := &cfwire.JobConfig{Version: cfg.Version, From: ask.From, Size: len(cfg.value), Part: part}
	if err := conn.Send(&cfwire.Message{JobConfig: m}); err != nil {
		e.Log.Warn().Err(err).Str("Entry", conn.Peer().Name).Uint64("Version", cfg.Version).Msg("configuration not sent to another entry")
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
	if w.newest <= have || now.Sub(w.asked) < configAskEvery {
		return
	}
	if c.storeWorks() && now.Sub(w.since) < configPatience {
		return
	}
	c.Log.Info().Str("Entry", w.holder.Peer().Name).Uint64("Have", have).Uint64("Version", w.newest).Int("Bytes", len(w.value)).Msg("asking another entry for its newer configuration")
	c.askPart(w.holder, have)
}

func (c *control) askPart(conn *cfwire.Conn, have uint64) {
	w := &c.configs
	w.asked = c.Clock.Now()
	if err := conn.Send(&cfwire.Message{JobConfigAsk: &cfwire.JobConfigAsk{Above: have, From: len(w.value)}}); err != nil {
		c.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("other entry not asked")
	}
}

// takeConfig takes in a part of another entry's configuration, and asks for the next one.
// A part that does not follow on what is there has come twice.
func (c *control) takeConfig(ctx context.Context, ev configPart) {
	have, m, w := c.configVersion(), ev.part, &c.configs
	if m.Version <= have || m.Version < w.version || m.Size > maxConfigBytes {
		return
	}
	if m.Version > w.version {
		w.version, w.value = m.Version, nil
		if m.From > 0 {
			c.askPart(ev.conn, have)
			return
		}
	}
	if m.From != len(w.value) {
		return
	}
	w.value = append(w.value, m.Part...)
	if len(w.value) < m.Size {
		c.askPart(ev.conn, have)
		return
	}
	value := w.value
	w.value = nil
	if err := c.configure(ctx, value, ev.conn.Peer().Name); err != nil {
		c.Log.Error().Err(err).Str("Entry", ev.conn.Peer().Name).Uint64("Version", m.Version).Msg("configuration of another entry skipped: it cannot be decoded")
	}
}
