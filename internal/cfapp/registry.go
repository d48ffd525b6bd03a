package cfapp

import prom "github.com/prometheus/client_golang/prometheus"

// newRegistry returns a registry of its own for each process, so that several can
// run in the demo's one process.
func newRegistry() *prom.Registry { return prom.NewRegistry() }
