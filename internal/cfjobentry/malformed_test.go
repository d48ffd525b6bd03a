package cfjobentry

import (
	"encoding/json"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// Parts of a configuration from another entry whose numbers make no sense must neither end the
// process nor put a configuration in force.
func TestMalformedConfigParts(t *testing.T) {
	for name, part := range map[string]cfwire.JobConfig{
		"negative offset":           {Version: 7, From: -1, Size: 2, Part: []byte("{}")},
		"smallest offset":           {Version: 7, From: math.MinInt, Size: 2, Part: []byte("{}")},
		"offset beyond the size":    {Version: 7, From: math.MaxInt, Size: 2, Part: []byte("{}")},
		"size beyond the limit":     {Version: 7, Size: math.MaxInt, Part: []byte("{")},
		"negative size, no content": {Version: 7, Size: -1},
		"empty":                     {Version: 7},
		"part beyond the size":      {Version: 7, Size: 1, Part: []byte("{}{}")},
		"not a configuration":       {Version: 7, Size: 1, Part: []byte{0xff}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newTestControl(t)
			c.DecodeConfig = func(data []byte) (*cfjob.Config, error) {
				config := &cfjob.Config{}
				return config, json.Unmarshal(data, config)
			}
			o := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
			c.receiveConfigPart(configPart{conn: o.connect(t, nil), part: &part})
			g.Expect(c.config.Load()).To(BeNil())
		})
	}
}

func TestMalformedConfigRequests(t *testing.T) {
	for name, from := range map[string]int{"negative": -1, "smallest": math.MinInt, "beyond the end": 3, "largest": math.MaxInt} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newTestControl(t)
			c.config.Store(&configRecord{Config: &cfjob.Config{Version: 7}, value: []byte("{}")})
			o := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
			g.Expect(func() { c.sendConfig(o.connect(t, nil), &cfwire.JobConfigRequest{From: from}) }).NotTo(Panic())
		})
	}
}
