package acaciatally

import (
	"context"
	"time"
)

// Sleep blocks for the duration wait or until ctx is done, whichever comes first.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
