package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkHello measures one interval of one entry: a Hello made and taken in for each partner. The metrics give the bytes of these
// Hellos, which an entry sends each second.
func BenchmarkHello(b *testing.B) {
	for _, n := range []int{3, 9, 60} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			g := newGroup(n)
			from := g.machines[0]
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				bytes = 0
				for _, to := range from.Partners() {
					hello := from.HelloTo(g.now, to)
					bytes += proto.Size(hello) + 2
					hello.EchoOf, hello.EchoMs = g.machines[1].self.hash(), 0
					g.machines[1].Hear(g.now.Add(time.Second), from.self.ID, hello)
				}
			}
			b.ReportMetric(float64(bytes), "B/interval")
		})
	}
}
