package acaciatally

import (
	"context"
	"time"
)

// Sleep waits for the duration and reports whether it elapsed before ctx ended.
func Sleep(ctx context.Context, wait time.Duration) (finished bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
