package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

const (
	// configPollTimeout is the longest time that a long poll waits for a newer
	// configuration. A call over an unresponsive connection fails after this wait plus the
	// call's timeout, so the wait also limits how long such a connection delays a
	// configuration. The platform allows a delay of 2 s or more.
	configPollTimeout = time.Second
	// When this entry learns of a newer configuration, it waits configFallbackDelay for the
	// store to return it. After that, this entry requests the configuration from another
	// entry. If the store does not answer, this entry does not wait. A read takes 10 ms, or
	// 250 ms when the store is slow. The platform allows 2 s or more until a configuration
	// is in force.
	configFallbackDelay = 500 * time.Millisecond
	// configRequestInterval is how long this entry waits for a requested part of a
	// configuration before it requests the part again.
	configRequestInterval = time.Second
	// configPartBytes bounds the size of a part. A part of this size takes 66 ms over a
	// link of 2 Mbit/s. A larger part could delay the messages behind it for so long that
	// the connection seems lost.
	configPartBytes = 16 << 10
	// maxConfigBytes bounds the size of a configuration that another entry sends. The
	// platform allows 256 KB.
	maxConfigBytes = 1 << 20
)

// configRecord is the operators' configuration, together with its encoded form for other
// entries: value is the record's value from which the configuration was decoded.
type configRecord struct {
	*cfjob.Config
	value []byte
}

// peerConfigState tracks the configurations of other entries. Only the control goroutine
// uses it.
type peerConfigState struct {
	// newestVersion is the highest version that another entry has reported as in force,
	// and holder is the connection to that entry. If newestVersion is higher than this
	// entry's own version, behindSince is when this entry first learned that it is behind.
	newestVersion uint64
	holder        *cfwire.Conn
	behindSince   time.Time
	// requestedAt is when this entry last requested a part from another entry.
	requestedAt time.Time
	// receivedVersion is the version of the configuration that is being received in parts,
	// and receivedBytes holds the bytes received so far.
	receivedVersion uint64
	receivedBytes   []byte
}

// followConfig reads the operators' topic and applies newer configurations until the
// context ends.
func (e *Entry) followConfig(ctx context.Context) error {
	topic := cfcore.Topic{Name: e.cfg.Operators}
	failing := false
	for ctx.Err() == nil {
		next, err := e.readConfig(ctx, topic)
		for err == nil && ctx.Err() == nil {
			failing = false
			next, err = e.pollConfig(ctx, topic, next)
		}
		if !failing && ctx.Err() == nil {
			failing = true
			e.Log.Warn().Err(err).Uint64("Version", e.configVersion()).Msg("configuration could not be read; retrying")
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(retryDelay):
		}
	}
	return ctx.Err()
}

// readConfig applies the newest record of each key in the operators' topic. It returns
// the offset from which pollConfig continues.
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
		e.countSkipped(topic, page.Skipped)
		for _, r := range page.Records {
			e.applyOperatorRecord(ctx, r)
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
	}
}

// pollConfig applies the records whose offset is at least next. If there are none, it waits
// up to configPollTimeout for one. It returns the value of next for the following call.
func (e *Entry) pollConfig(ctx context.Context, topic cfcore.Topic, next int64) (int64, error) {
	page, err := e.Store.Read(ctx, topic, next, configPollTimeout)
	if err != nil {
		return 0, err
	}
	e.countSkipped(topic, page.Skipped)
	for _, r := range page.Records {
		e.applyOperatorRecord(ctx, r)
	}
	return page.Next, nil
}

// applyOperatorRecord applies a record from the operators' topic. It ignores records with
// keys other than ConfigKey.
func (e *Entry) applyOperatorRecord(ctx context.Context, r cfcore.KeyedRecord) {
	if r.Key != e.ConfigKey {
		return
	}
	cfg, err := e.configure(r.Value, "store")
	if err != nil {
		e.Log.Error().Err(err).Int64("Offset", r.Offset).Msg("configuration cannot be decoded; skipping it")
	}
	if cfg != nil {
		e.post(ctx, configChanged{config: cfg})
	}
}

// configure decodes a configuration and puts it in force if it is newer than the current
// one. It returns the configuration if the control goroutine must apply it, or nil. source is
// the origin of the configuration, for log lines.
func (e *Entry) configure(value []byte, source string) (*cfjob.Config, error) {
	cfg, err := e.DecodeConfig(value)
	if err != nil || !e.replaceConfig(&configRecord{Config: cfg, value: value}) {
		return nil, err
	}
	for _, err := range cfg.Malformed {
		e.Log.Error().Err(err).Uint64("Version", cfg.Version).Msg("queue cannot be decoded; leaving it out")
		e.Scope.Counter("queues_skipped").Inc(1)
	}
	e.Log.Info().Uint64("Version", cfg.Version).Int("Queues", len(cfg.Queues)).Str("From", source).Msg("configuration in force")
	return cfg, nil
}

// replaceConfig replaces the configuration in force if next is newer, and reports whether
// it did. The store and other entries can deliver configurations concurrently.
func (e *Entry) replaceConfig(next *configRecord) bool {
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

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (e *Entry) configVersion() uint64 {
	if cfg := e.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// sendConfig sends the requested part of the configuration to another entry. It sends
// nothing if this entry has no configuration newer than req.NewerThan, or if req.From lies
// outside the configuration.
func (e *Entry) sendConfig(conn *cfwire.Conn, req *cfwire.JobConfigRequest) {
	cfg := e.config.Load()
	if cfg == nil || cfg.Version <= req.NewerThan || req.From < 0 || req.From > len(cfg.value) {
		return
	}
	part := cfg.value[req.From:min(req.From+configPartBytes, len(cfg.value))]
	m := &cfwire.JobConfig{Version: cfg.Version, From: req.From, Size: len(cfg.value), Part: part}
	if err := conn.Send(&cfwire.Message{JobConfig: m}); err != nil {
		e.Log.Warn().Err(err).Str("Entry", conn.Peer().Name).Uint64("Version", cfg.Version).Msg("configuration could not be sent to another entry")
	}
}

// recordPeerVersion records the configuration version that another entry has in force.
// Entries announce only their version. They send the configuration itself, which can have
// 256 KB, only on request. conn is the connection to the other entry.
func (c *control) recordPeerVersion(conn *cfwire.Conn, version uint64) {
	peers := &c.peerConfigs
	if ownVersion := c.configVersion(); peers.newestVersion <= ownVersion {
		peers.behindSince = c.Clock.Now()
	}
	if version >= peers.newestVersion {
		peers.newestVersion, peers.holder = version, conn
	}
}

// requestConfig requests a newer configuration from another entry if the store does not
// answer this entry, or has not returned that configuration within configFallbackDelay. It
// asks another entry because the store possibly rejects only the calls of this entry.
// requestConfig sends at most one request in configRequestInterval.
func (c *control) requestConfig() {
	ownVersion, now := c.configVersion(), c.Clock.Now()
	peers := &c.peerConfigs
	if peers.newestVersion <= ownVersion || now.Sub(peers.requestedAt) < configRequestInterval {
		return
	}
	if c.storeWorks() && now.Sub(peers.behindSince) < configFallbackDelay {
		return
	}
	c.Log.Info().Str("Entry", peers.holder.Peer().Name).Uint64("Have", ownVersion).Uint64("Version", peers.newestVersion).Int("Bytes", len(peers.receivedBytes)).Msg("requesting a newer configuration from another entry")
	c.requestConfigPart(peers.holder, ownVersion)
}

// requestConfigPart requests the part that follows the bytes received so far. The other
// entry answers only if its configuration is newer than ownVersion.
func (c *control) requestConfigPart(conn *cfwire.Conn, ownVersion uint64) {
	peers := &c.peerConfigs
	peers.requestedAt = c.Clock.Now()
	if err := conn.Send(&cfwire.Message{JobConfigAsk: &cfwire.JobConfigRequest{NewerThan: ownVersion, From: len(peers.receivedBytes)}}); err != nil {
		c.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("configuration request not sent to another entry")
	}
}

// receiveConfigPart appends a part of another entry's configuration to the bytes received
// so far. It then requests the next part or, after the last one, puts the configuration
// in force. When a part of a newer version arrives, the bytes of the older version are
// discarded. If that part is not the first one of its version, the first one is
// requested. receiveConfigPart ignores
//   - parts of versions that are not newer than the one in force
//   - parts of versions older than the one being received
//   - parts of configurations larger than maxConfigBytes
//   - parts that do not start at the end of the bytes received so far: they are duplicates
func (c *control) receiveConfigPart(ev configPart) {
	ownVersion, m, peers := c.configVersion(), ev.part, &c.peerConfigs
	if m.Version <= ownVersion || m.Version < peers.receivedVersion || m.Size > maxConfigBytes {
		return
	}
	if m.Version > peers.receivedVersion {
		peers.receivedVersion, peers.receivedBytes = m.Version, nil
		if m.From > 0 {
			c.requestConfigPart(ev.conn, ownVersion)
			return
		}
	}
	if m.From != len(peers.receivedBytes) {
		return
	}
	peers.receivedBytes = append(peers.receivedBytes, m.Part...)
	if len(peers.receivedBytes) < m.Size {
		c.requestConfigPart(ev.conn, ownVersion)
		return
	}
	value := peers.receivedBytes
	peers.receivedBytes = nil
	cfg, err := c.configure(value, ev.conn.Peer().Name)
	if err != nil {
		c.Log.Error().Err(err).Str("Entry", ev.conn.Peer().Name).Uint64("Version", m.Version).Msg("configuration of another entry cannot be decoded; skipping it")
	}
	if cfg != nil {
		c.applyConfig(cfg)
	}
}
