package indexheap

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type number struct {
	value, index int
}

func (n *number) Before(o *number) bool { return n.value < o.value }
func (n *number) SetIndex(i int)        { n.index = i }

// Guards against an element that is lost, comes out of order or has a wrong index
// after other elements were changed or removed.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*number]
		var held []*number
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			value := rapid.IntRange(0, 20).Draw(t, "value")
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step <= 1 || len(held) == 0:
				n := &number{value: value}
				h.Push(n)
				held = append(held, n)
			case step == 2:
				n := held[value%len(held)]
				n.value = value
				h.Fix(n.index)
			default:
				i := value % len(held)
				h.Remove(held[i].index)
				require.Equal(t, Removed, held[i].index)
				held = slices.Delete(held, i, i+1)
			}
		}
		require.Equal(t, len(held), h.Len())
		slices.SortFunc(held, func(a, b *number) int { return a.value - b.value })
		for _, n := range held {
			first, ok := h.First()
			require.True(t, ok)
			require.Equal(t, n.value, first.value)
			require.Same(t, first, h.Pop())
		}
		_, ok := h.First()
		require.False(t, ok)
	})
}
