package instance

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// Configurations travel between instances compressed: each entry repeats most of the one
// before, a feeder sends every version to a dozen instances, and their links may be thin.

// snapshotIndex is the packedConfiguration.Change of the configuration of a snapshot.
const snapshotIndex = -1

// packedConfiguration is a compressed configuration of a feed response.
type packedConfiguration struct {
	// Change is the index of the change to which it belongs.
	Change   int    `json:"change"`
	Deflated []byte `json:"deflated"`
}

// feedMessage is a feed response whose configurations are compressed.
type feedMessage struct {
	fleet.FeedResponse
	Packed []packedConfiguration `json:"packed,omitempty"`
}

// configurationMessage is the response to a request for the configuration. The requester states
// whether it reads the compressed form.
type configurationMessage struct {
	*fleet.Configuration
	Deflated []byte `json:"deflated,omitempty"`
}

// configurationPacker compresses configurations and keeps the last one: it is sent to every
// follower. It is used by one thread only.
type configurationPacker struct {
	configuration *fleet.Configuration
	deflated      []byte
}

// pack returns the compressed JSON of a configuration, or nil if it cannot be encoded.
func (p *configurationPacker) pack(c *fleet.Configuration) []byte {
	if p.configuration != c {
		p.configuration, p.deflated = c, deflate(c)
	}
	return p.deflated
}

func deflate(c *fleet.Configuration) []byte {
	text, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := writer.Write(text); err != nil || writer.Close() != nil {
		return nil
	}
	return buffer.Bytes()
}

// inflate decodes a compressed configuration. It returns an error for one that is invalid or
// longer than a message may be.
func inflate(deflated []byte) (*fleet.Configuration, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	text, err := io.ReadAll(io.LimitReader(reader, rpc.MaxMessageBytes))
	if err != nil {
		return nil, eris.Wrap(err, "the configuration cannot be decompressed")
	}
	c := &fleet.Configuration{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, eris.Wrap(err, "the configuration cannot be decoded")
	}
	return c, nil
}

// packFeed compresses the configurations of a feed response. It leaves the response as it is.
func (p *configurationPacker) packFeed(response fleet.FeedResponse) feedMessage {
	m := feedMessage{FeedResponse: response}
	if s := response.Snapshot; s != nil && s.Configuration != nil {
		if deflated := p.pack(s.Configuration); deflated != nil {
			stripped := *s
			stripped.Configuration = nil
			m.Snapshot = &stripped
			m.Packed = append(m.Packed, packedConfiguration{Change: snapshotIndex, Deflated: deflated})
		}
	}
	m.Changes = slices.Clone(response.Changes)
	for i := range m.Changes {
		c := m.Changes[i].Configuration
		if c == nil {
			continue
		}
		if deflated := p.pack(c); deflated != nil {
			m.Changes[i].Configuration = nil
			m.Packed = append(m.Packed, packedConfiguration{Change: i, Deflated: deflated})
		}
	}
	return m
}

// unpackFeed decodes a feed response.
func unpackFeed(text []byte) (fleet.FeedResponse, error) {
	var m feedMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return fleet.FeedResponse{}, eris.Wrap(err, "the response cannot be decoded")
	}
	for _, packed := range m.Packed {
		c, err := inflate(packed.Deflated)
		switch {
		case err != nil:
			return fleet.FeedResponse{}, err
		case packed.Change == snapshotIndex && m.Snapshot != nil:
			m.Snapshot.Configuration = c
		case packed.Change >= 0 && packed.Change < len(m.Changes):
			m.Changes[packed.Change].Configuration = c
		default:
			return fleet.FeedResponse{}, eris.New("a configuration belongs to no change")
		}
	}
	return m.FeedResponse, nil
}

// packConfiguration returns the response to a request for the configuration.
func (p *configurationPacker) packConfiguration(c *fleet.Configuration) configurationMessage {
	if deflated := p.pack(c); c != nil && deflated != nil {
		return configurationMessage{Deflated: deflated}
	}
	return configurationMessage{Configuration: c}
}

// unpackConfiguration decodes the response to a request for the configuration.
func unpackConfiguration(text []byte) (*fleet.Configuration, error) {
	m := configurationMessage{Configuration: &fleet.Configuration{}}
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, eris.Wrap(err, "the response cannot be decoded")
	}
	if m.Deflated != nil {
		return inflate(m.Deflated)
	}
	return m.Configuration, nil
}
