package targetio

import "slices"

// statementSet holds the names of the prepared statements that are known to exist
// on a connection.
type statementSet struct {
	names map[string]bool
	// order lists the names, oldest first.
	order []string
}

func (s *statementSet) has(name string) bool {
	return s.names[name]
}

func (s *statementSet) add(name string) {
	if s.names[name] {
		return
	}
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
	s.order = append(s.order, name)
}

func (s *statementSet) forget(name string) {
	if !s.names[name] {
		return
	}
	delete(s.names, name)
	at := slices.Index(s.order, name)
	s.order = slices.Delete(s.order, at, at+1)
}

func (s *statementSet) forgetAll() {
	clear(s.names)
	s.order = s.order[:0]
}

// evict removes and returns the oldest statement for which keep returns false, if
// the set has at least limit statements. It returns false if none was removed.
func (s *statementSet) evict(limit int, keep func(string) bool) (string, bool) {
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
