// Package samples embeds the sample settings and intents of both sample deployments.
package samples

import "embed"

// Files holds the sample files, in one folder per deployment.
//
//go:embed granite-spring kelaniya
var Files embed.FS
