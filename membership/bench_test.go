package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkHello measures one Hello interval of one entry: for each partner a Hello is created and one is processed. The metric B/interval
// is the size of these Hellos, which an entry sends every second.
func BenchmarkHello(b *testing.B) {
	for _, n := range []int{3, 9, 60} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			s := newSimulation(n)
			from := s.machines[0]
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				bytes = 0
				for _, to := range from.Partners() {
					hello := from.HelloFor(s.now, to)
					bytes += proto.Size(hello) + 2
					hello.EchoOf, hello.EchoMs = s.machines[1].self.hash(), 0
					s.machines[1].ReceiveHello(s.now.Add(time.Second), from.self.ID, hello)
				}
			}
			b.ReportMetric(float64(bytes), "B/interval")
		})
	}
}
