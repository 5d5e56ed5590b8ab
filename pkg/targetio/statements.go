package targetio

import "slices"

// statements are the prepared statements that a connection is known to have,
// oldest first.
type statements struct {
	known map[string]bool
	order []string
}

func (s *statements) has(name string) bool {
	return s.known[name]
}

func (s *statements) add(name string) {
	if s.known[name] {
		return
	}
	if s.known == nil {
		s.known = map[string]bool{}
	}
	s.known[name] = true
	s.order = append(s.order, name)
}

func (s *statements) forget(name string) {
	if !s.known[name] {
		return
	}
	delete(s.known, name)
	at := slices.Index(s.order, name)
	s.order = slices.Delete(s.order, at, at+1)
}

func (s *statements) forgetAll() {
	clear(s.known)
	s.order = s.order[:0]
}

// evict removes and returns the oldest statement for which keep is false, if
// limit is reached.
func (s *statements) evict(limit int, keep func(string) bool) (string, bool) {
	if len(s.order) < limit {
		return "", false
	}
	for _, name := range s.order {
		if !keep(name) {
			s.forget(name)
			return name, true
		}
	}
	return "", false
}
