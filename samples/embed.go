// Package samples embeds the sample settings and intents of both sample deployments.
package samples

import "embed"

// Files contains the sample files, with one folder for each deployment.
//
//go:embed granite-spring kelaniya
var Files embed.FS
