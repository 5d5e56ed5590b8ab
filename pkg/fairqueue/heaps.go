package fairqueue

// Before implements indexheap.Element: items of an account go by deadline.
func (i *Item[T]) Before(other *Item[T]) bool {
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.seq < other.seq
}

// SetIndex implements indexheap.Element.
func (i *Item[T]) SetIndex(index int) { i.index = index }

// Before implements indexheap.Element: accounts go by their start tags.
func (f *flow[T]) Before(other *flow[T]) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.arrivalSeq < other.arrivalSeq
}

// SetIndex implements indexheap.Element.
func (f *flow[T]) SetIndex(index int) { f.index = index }

// arrival is an item that goes by its arrival.
type byArrival[T any] struct {
	*Item[T]
}

// Before implements indexheap.Element.
func (a byArrival[T]) Before(other byArrival[T]) bool { return a.seq < other.seq }
