package measurer

import (
	"runtime"
	"syscall"
	"time"
)

// heapBytes returns the bytes of live heap that the result of f holds.
func heapBytes(f func() any) float64 {
	before := liveBytes()
	kept := f()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return after - before
}

func liveBytes() float64 {
	var m runtime.MemStats
	// The second collection frees what the first one finalised.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorSeconds returns the processor time that f takes, all threads and
// the collector included.
func processorSeconds(f func()) float64 {
	before := processorTime()
	f()
	return (processorTime() - before).Seconds()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sizes are the x of slopes.
func sizes(n ...int) []int { return n }

// sweep measures a cost at several sizes.
func sweep(xs []int, cost func(n int) float64) []Point {
	points := make([]Point, 0, len(xs))
	for _, x := range xs {
		points = append(points, Point{X: float64(x), Y: cost(x)})
	}
	return points
}

// stackBytes returns the bytes of goroutines' stacks.
func stackBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
