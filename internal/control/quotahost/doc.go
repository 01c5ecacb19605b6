// Package quotahost runs the quota holder of a control instance. One goroutine owns the holder, takes events from a queue, steps
// the holder, sends its messages, and has its records written to the instance's disk.
package quotahost
