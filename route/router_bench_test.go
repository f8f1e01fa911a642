package route_test

import (
	"fmt"
	"testing"

	"github.com/acaciatally/acaciatally/route"
)

// BenchmarkPick measures one cycle of Usable, Pick and Report for several numbers of workers.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{9, 41, 400} {
		b.Run(fmt.Sprintf("Workers=%d", count), func(b *testing.B) {
			router, workers := route.New(route.Config{}), pool(count)
			b.ReportAllocs()
			for b.Loop() {
				router.Usable(testStart, workers)
				id, _ := router.Pick(testStart, route.Request{DataCentre: "d1"}, workers)
				router.Report(testStart, id, success)
			}
		})
	}
}
