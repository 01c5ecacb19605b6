// Package quotahost runs the quota holder of a control instance in the process: one goroutine owns it, takes requests for
// credit from a queue, steps it, sends its answers, and has its records written to the instance's disk.
package quotahost
