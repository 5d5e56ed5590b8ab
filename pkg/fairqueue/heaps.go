package fairqueue

// Before implements indexheap.Element. Items of an account are ordered by
// deadline, then by arrival.
func (i *Item[T]) Before(other *Item[T]) bool {
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.seq < other.seq
}

// SetIndex implements indexheap.Element.
func (i *Item[T]) SetIndex(index int) { i.index = index }

// Before implements indexheap.Element. Flows are ordered by start tag, then by
// the arrival of their first item.
func (f *flow[T]) Before(other *flow[T]) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.arrivalSeq < other.arrivalSeq
}

// SetIndex implements indexheap.Element.
func (f *flow[T]) SetIndex(index int) { f.index = index }

// byArrival orders an item by its arrival.
type byArrival[T any] struct {
	*Item[T]
}

// Before implements indexheap.Element.
func (a byArrival[T]) Before(other byArrival[T]) bool { return a.seq < other.seq }
