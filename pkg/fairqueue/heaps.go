package fairqueue

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
