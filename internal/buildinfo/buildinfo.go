// Package buildinfo tells which build a program is. A build without a version control program has no revision in it; the
// program's own digest then tells builds apart.
package buildinfo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

// revisionKey is the build setting that holds the revision, where the build was told to look for it.
const revisionKey = "vcs.revision"

// digestLength is how many characters of the digest are told.
const digestLength = 16

// Line tells in a line of the program, its build and the Go version: a revision where one was stamped, else the digest.
func Line(program string) string {
	info, known := debug.ReadBuildInfo()
	if !known {
		info = new(debug.BuildInfo)
	}
	return line(program, info, ownDigest)
}

func line(program string, info *debug.BuildInfo, digest func() (string, error)) string {
	build := "unknown build"
	if revision := revisionOf(info); revision != "" {
		build = "revision " + revision
	} else if sum, err := digest(); err == nil {
		build = "build " + sum[:digestLength]
	}
	if info.GoVersion == "" {
		return fmt.Sprintf("%s, %s", program, build)
	}
	return fmt.Sprintf("%s, %s, %s", program, build, info.GoVersion)
}

func revisionOf(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == revisionKey {
			return setting.Value
		}
	}
	return ""
}

// ownDigest is the SHA-256 of the running program's file, in hex.
func ownDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}
