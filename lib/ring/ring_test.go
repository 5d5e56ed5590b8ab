package ring

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an item that is accepted beyond the capacity.
func TestTryPushRefusesWhenFull(t *testing.T) {
	r := New[int](4, NewSignal())
	for i := range 4 {
		require.True(t, r.TryPush(i))
	}
	require.False(t, r.TryPush(4))
	require.EqualValues(t, 1, r.Stats().Refusals)
	v, ok := r.Pop()
	require.True(t, ok)
	require.Equal(t, 0, v)
	require.True(t, r.TryPush(4))
}

// Guards against lost or duplicated items and lost wake-ups with several producers.
func TestConcurrentProducersKeepOrderAndCount(t *testing.T) {
	const producers, items = 4, 20000
	signal := NewSignal()
	r := New[[2]int](64, signal)
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range items {
				for !r.TryPush([2]int{p, i}) {
					runtime.Gosched()
				}
			}
		})
	}
	next := make([]int, producers)
	for received := 0; received < producers*items; {
		v, ok := r.Pop()
		if !ok {
			if r.Park() {
				signal.Wait(time.Second)
				r.Unpark()
			}
			continue
		}
		require.Equal(t, next[v[0]], v[1])
		next[v[0]]++
		received++
	}
	wg.Wait()
}

// Guards against a producer that waits for free space and is never woken.
func TestNotifyRoomWakesAtHalfFree(t *testing.T) {
	r := New[int](4, NewSignal())
	for i := range 4 {
		require.True(t, r.TryPush(i))
	}
	first, second := NewSignal(), NewSignal()
	require.True(t, r.NotifySpace(first))
	require.True(t, r.NotifySpace(second))
	r.Pop()
	require.Len(t, first.wake, 0)
	r.Pop()
	require.Len(t, first.wake, 1)
	require.Len(t, second.wake, 1)
	require.False(t, r.NotifySpace(first))
}

func BenchmarkBusyRing(b *testing.B) {
	r := New[int](1024, NewSignal())
	for b.Loop() {
		r.TryPush(1)
		r.Pop()
	}
}

func BenchmarkBusyChannel(b *testing.B) {
	c := make(chan int, 1024)
	for b.Loop() {
		c <- 1
		<-c
	}
}

// BenchmarkParkedRing measures a round trip between two locked threads that park on
// an empty ring.
func BenchmarkParkedRing(b *testing.B) {
	requested, replied := NewSignal(), NewSignal()
	request, reply := New[int](16, requested), New[int](16, replied)
	go func() {
		runtime.LockOSThread()
		for {
			v := popWait(request, requested)
			if v < 0 {
				return
			}
			reply.TryPush(v)
		}
	}()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for b.Loop() {
		request.TryPush(1)
		popWait(reply, replied)
	}
	request.TryPush(-1)
}

func popWait(r *Ring[int], s *Signal) int {
	for {
		if v, ok := r.Pop(); ok {
			return v
		}
		if r.Park() {
			s.Wait(time.Second)
			r.Unpark()
		}
	}
}

// BenchmarkParkedChannel measures the same round trip over channels.
func BenchmarkParkedChannel(b *testing.B) {
	request, reply := make(chan int, 16), make(chan int, 16)
	go func() {
		runtime.LockOSThread()
		for v := range request {
			reply <- v
		}
	}()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for b.Loop() {
		request <- 1
		<-reply
	}
	close(request)
}
