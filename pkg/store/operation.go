package store

func (o GetOp) run(c callContext) (any, error) { return c.store.Get(c.ctx, o.Key) }

func (o PutOp) run(c callContext) (any, error) { return c.store.Put(c.ctx, o.PutRequest) }

func (o DeleteOp) run(c callContext) (any, error) {
	return nil, c.store.Delete(c.ctx, o.Key, o.Revision)
}

func (o CreateLeaseOp) run(c callContext) (any, error) { return c.store.CreateLease(c.ctx, o.TTL) }

func (o RenewLeaseOp) run(c callContext) (any, error) {
	return nil, c.store.RenewLease(c.ctx, o.Lease)
}

func (o RevokeLeaseOp) run(c callContext) (any, error) {
	return nil, c.store.RevokeLease(c.ctx, o.Lease)
}

func (o WatchOp) run(c callContext) (any, error) { return c.store.Watch(c.ctx, o.WatchRequest) }

func (o InstancesOp) run(c callContext) (any, error) { return c.store.Instances(c.ctx) }

func (o AnnounceOp) run(c callContext) (any, error) {
	return nil, c.store.Announce(c.ctx, o.Instance)
}
