package fleet

// recordsSnapshot returns the records that the store held at a revision, as far as this
// instance knows them. Members and instances that the store lacks and that are kept for
// the grace period are left out.
func (e *Engine) recordsSnapshot(revision Revision) *Snapshot {
	s := &Snapshot{Configuration: e.configuration, Revision: revision}
	for _, m := range e.members {
		if !m.missing {
			s.Members = append(s.Members, e.announcementOf(m))
		}
	}
	for _, i := range e.instances {
		if !i.missing {
			s.Instances = append(s.Instances, i.Instance)
		}
	}
	for _, h := range e.homes.records {
		if h.record != nil {
			s.Homes = append(s.Homes, *h.record)
		}
	}
	for _, succession := range e.successions {
		s.Successions = append(s.Successions, succession)
	}
	for domain := range e.evacuations {
		s.Evacuations = append(s.Evacuations, domain)
	}
	for _, term := range e.recordedTerms {
		s.Terms = append(s.Terms, term)
	}
	return s
}
