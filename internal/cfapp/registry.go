package cfapp

import prom "github.com/prometheus/client_golang/prometheus"

// newRegistry returns a new metrics registry. Each role has its own, because the demo
// runs several roles in one process.
func newRegistry() *prom.Registry { return prom.NewRegistry() }
