package site

import (
	"time"

	"github.com/acaciatally/acaciatally/dispatch"
)

const (
	// transferTime is how long one commit may occupy the entry's link: renewals of leases, which have to be fast, wait behind it.
	transferTime   = 100 * time.Millisecond
	minCommitBytes = 8 << 10
	// linkPerLoad is the link speed in bits per second that a new leader needs for each partition that it reads at the same time.
	linkPerLoad    = 5e6
	maxLoadsAtOnce = 8
)

// commitBytes returns the size of the largest commit on a link, in bytes; 0 bits per second is unlimited.
func commitBytes(linkBitsPerSecond float64) int {
	if linkBitsPerSecond <= 0 {
		return dispatch.MaxCommitBytes
	}
	return int(min(dispatch.MaxCommitBytes, max(minCommitBytes, linkBitsPerSecond/8*transferTime.Seconds())))
}

// loadsAtOnce returns how many partitions a new leader reads at the same time over a link; 0 bits per second is unlimited.
func loadsAtOnce(linkBitsPerSecond float64) int {
	if linkBitsPerSecond <= 0 {
		return maxLoadsAtOnce
	}
	return int(min(maxLoadsAtOnce, max(1, linkBitsPerSecond/linkPerLoad)))
}
