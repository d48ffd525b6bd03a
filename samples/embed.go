// Package samples holds the sample settings and intents of both deployments.
package samples

import "embed"

// Files are the sample files, by deployment.
//
//go:embed granite-spring kelaniya
var Files embed.FS
