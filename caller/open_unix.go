//go:build unix

package caller

import "syscall"

// stillOpen reports whether a connection on which nothing is awaited is open and silent. The read
// does not block, because connections of package net are in non-blocking mode.
func stillOpen(fd uintptr) bool {
	var one [1]byte
	_, err := syscall.Read(int(fd), one[:])
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}
