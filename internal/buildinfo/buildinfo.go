// Package buildinfo identifies the build of a running program, for the verb "version" of both programs. A build without a
// version control program has no revision stamped; the digest of the program's file then distinguishes builds.
package buildinfo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

// revisionKey is the build setting with the revision, which go build -buildvcs stamps.
const revisionKey = "vcs.revision"

// digestLength is how many characters of the digest are printed.
const digestLength = 16

// Line returns program, build and Go version in one line. The build is the revision where one is stamped, else the first
// characters of the digest, else "unknown build".
func Line(program string) string {
	info, known := debug.ReadBuildInfo()
	if !known {
		info = new(debug.BuildInfo)
	}
	return line(program, info, ownDigest)
}

// line is Line with its sources as parameters.
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

// revisionOf returns the stamped revision, or "".
func revisionOf(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == revisionKey {
			return setting.Value
		}
	}
	return ""
}

// ownDigest returns the SHA-256 of the running program's file, in hex.
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
