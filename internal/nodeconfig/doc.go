// Package nodeconfig reads the static settings of one process: the settings file that the platform gives it (DEPLOY.md,
// "Settings of a process"). It says what the process is, where it listens, what its machine allows, and the bounds of
// the rules in force. The operators' dynamic configuration, which is replicated and changes while processes run, is
// package configuration.
//
// A process reads the file when it starts, and again on SIGHUP; each program documents which keys take effect then.
//
// # Errors
//
// Parse checks all keys and joins a KeyError for each that is missing or malformed, with file, line, key and reason. A
// key that is not known is ignored, and a key without a value counts as absent, as the page asks.
package nodeconfig
