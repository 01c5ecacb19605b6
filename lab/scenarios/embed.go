// Package scenarios holds the lab's scenarios, one CUE file each.
package scenarios

import "embed"

// Files are all of them.
//
//go:embed *.cue
var Files embed.FS
