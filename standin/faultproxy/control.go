package faultproxy

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

// Directions of a link. An empty direction means both.
const (
	// Up is from the client to the target.
	Up = "up"
	// Down is from the target to the client.
	Down = "down"
)

// Parameters of the control methods.
type (
	// LinkParams are the parameters of cut, reset and restore.
	LinkParams struct {
		Link      string `json:"link"`
		Direction string `json:"direction,omitempty"`
	}
	// DelayParams are the parameters of delay; MS is the delay of each chunk of
	// bytes in milliseconds.
	DelayParams struct {
		Link      string `json:"link"`
		Direction string `json:"direction,omitempty"`
		MS        int64  `json:"ms"`
	}
)

// LinkStatus is the status of a link.
type LinkStatus struct {
	Listen      string          `json:"listen"`
	Target      string          `json:"target"`
	Connections int             `json:"connections"`
	Up          DirectionStatus `json:"up"`
	Down        DirectionStatus `json:"down"`
}

// DirectionStatus is the status of one direction of a link. Bytes counts the
// forwarded bytes.
type DirectionStatus struct {
	Cut     bool   `json:"cut"`
	DelayMS int64  `json:"delay_ms"`
	Bytes   uint64 `json:"bytes"`
}

func (p *Proxy) newEndpoint() *endpoint.Server {
	return &endpoint.Server{Methods: map[string]endpoint.Method{
		"status":  endpoint.Typed(p.callStatus),
		"cut":     endpoint.Typed(p.callCut),
		"delay":   endpoint.Typed(p.callDelay),
		"reset":   endpoint.Typed(p.callReset),
		"restore": endpoint.Typed(p.callRestore),
	}}
}

func (p *Proxy) link(name string) (*link, error) {
	l, ok := p.links[name]
	if !ok {
		return nil, &endpoint.ParamsError{Reason: "unknown link " + name}
	}
	return l, nil
}

func (l *link) directions(name string) ([]*direction, error) {
	switch name {
	case "":
		return []*direction{&l.up, &l.down}, nil
	case Up:
		return []*direction{&l.up}, nil
	case Down:
		return []*direction{&l.down}, nil
	}
	return nil, &endpoint.ParamsError{Reason: "unknown direction " + name}
}

func (p *Proxy) callStatus(_ struct{}, reply endpoint.Reply) error {
	statuses := map[string]LinkStatus{}
	for name, l := range p.links {
		statuses[name] = l.status()
	}
	reply.SendResult(statuses)
	return nil
}

func (l *link) status() LinkStatus {
	return LinkStatus{
		Listen:      l.address.String(),
		Target:      l.options.Target,
		Connections: len(l.pairs),
		Up:          l.up.status(),
		Down:        l.down.status(),
	}
}

func (d *direction) status() DirectionStatus {
	return DirectionStatus{Cut: d.cut, DelayMS: d.delay.Milliseconds(), Bytes: d.bytes}
}

// changeDirections applies a change to the named direction of a link, or to both,
// and responds with the status of the link.
func (p *Proxy) changeDirections(name, directionName string, reply endpoint.Reply, apply func(*direction)) error {
	l, err := p.link(name)
	if err != nil {
		return err
	}
	directions, err := l.directions(directionName)
	if err != nil {
		return err
	}
	for _, d := range directions {
		apply(d)
	}
	l.forwardPending()
	reply.SendResult(l.status())
	return nil
}

func (p *Proxy) callCut(params LinkParams, reply endpoint.Reply) error {
	return p.changeDirections(params.Link, params.Direction, reply, func(d *direction) { d.cut = true })
}

func (p *Proxy) callDelay(params DelayParams, reply endpoint.Reply) error {
	if params.MS < 0 {
		return &endpoint.ParamsError{Reason: "ms is negative"}
	}
	return p.changeDirections(params.Link, params.Direction, reply, func(d *direction) {
		d.delay = time.Duration(params.MS) * time.Millisecond
	})
}

func (p *Proxy) callRestore(params LinkParams, reply endpoint.Reply) error {
	return p.changeDirections(params.Link, params.Direction, reply, func(d *direction) {
		d.cut = false
		d.delay = 0
	})
}

func (p *Proxy) callReset(params LinkParams, reply endpoint.Reply) error {
	l, err := p.link(params.Link)
	if err != nil {
		return err
	}
	l.reset()
	reply.SendResult(l.status())
	return nil
}
