package predictor_test

import (
	"strconv"
	"testing"
	"time"

	"rattanhoist.example/rattanhoist/predictor"
)

// BenchmarkChoose measures one choice among as many endpoints as a small and a large
// deployment have for one service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 216} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var list []*predictor.Endpoint
			for _, zone := range []string{"a", "b", "c"} {
				list = append(list, endpoints(zone, n/3)...)
			}
			t := table(list...)
			now := time.Now()
			b.ReportAllocs()
			for i := range b.N {
				w := t.Choose(now, ask(1_800, predictor.Part{ID: strconv.Itoa(i % 64), Tokens: 500}))
				w.ObserveFirstByte(now)
				w.End()
			}
		})
	}
}
