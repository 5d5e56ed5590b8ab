package instance

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
)

// maxPackedFraction is the part of its plain size that a compressed configuration may take: with
// it, a feeder on a thin link (10 Mbit/s) sends twelve followers 1 MB each within 3 s.
const maxPackedFraction = 0.25

func encodeJSON(t *testing.T, value any) []byte {
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return text
}

// Guards against feeders on thin links that need longer than the bound to send a large
// configuration to their followers, and against compressed records that differ from the sent ones.
func TestPackedFeedResponse(t *testing.T) {
	large := largeConfiguration(4000)
	for name, response := range map[string]fleet.FeedResponse{
		"change": {Next: 9, Changes: []fleet.Change{
			{Revision: 7, RemovedMember: "m"}, {Revision: 8, Configuration: large}, {Revision: 9, RemovedInstance: "i"},
		}},
		"snapshot": {Next: 9, Snapshot: &fleet.Snapshot{Revision: 9, Configuration: large, Homes: []fleet.Home{{Account: "a"}}}},
		"none":     {Next: 9, Unavailable: true, StoreLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			plain := encodeJSON(t, response)
			packed := encodeJSON(t, (&configurationPacker{}).packFeed(response))
			require.Equal(t, plain, encodeJSON(t, response), "packing must not change the response")
			got, err := unpackFeed(packed)
			require.NoError(t, err)
			require.Equal(t, response, got)
			fromEarlierVersion, err := unpackFeed(plain)
			require.NoError(t, err)
			require.Equal(t, response, fromEarlierVersion)
			if name != "none" {
				require.Less(t, float64(len(packed)), maxPackedFraction*float64(len(plain)))
			}
		})
	}
}

// Guards against a configuration that is compressed again for each follower.
func TestConfigurationIsCompressedOnce(t *testing.T) {
	var packer configurationPacker
	c := largeConfiguration(100)
	first := packer.pack(c)
	require.Same(t, &first[0], &packer.pack(c)[0])
	next := largeConfiguration(101)
	got, err := inflate(packer.pack(next))
	require.NoError(t, err)
	require.Equal(t, next, got)
}

// Guards against a response without a configuration, or with an invalid one, that ends the process
// or is adopted.
func TestInvalidPackedConfigurations(t *testing.T) {
	for _, text := range []string{
		`{"packed":[{"change":0,"deflated":"AAAA"}]}`, `{"changes":[{}],"packed":[{"change":-2,"deflated":"AwA="}]}`, `{"packed":[{"change":-1,"deflated":""}]}`, `[`,
	} {
		_, err := unpackFeed([]byte(text))
		require.Error(t, err, text)
	}
	_, err := unpackConfiguration([]byte(`{"deflated":"AAAA"}`))
	require.Error(t, err)
	none, err := unpackConfiguration([]byte(`null`))
	require.NoError(t, err)
	require.Zero(t, none.Version)
}

// Guards against a configuration fetched from another instance that differs from the sent one, in
// either form.
func TestConfigurationMessage(t *testing.T) {
	c := largeConfiguration(50)
	for _, sent := range []any{c, (&configurationPacker{}).packConfiguration(c)} {
		got, err := unpackConfiguration(encodeJSON(t, sent))
		require.NoError(t, err)
		require.Equal(t, c, got)
	}
	got, err := unpackConfiguration(encodeJSON(t, (&configurationPacker{}).packConfiguration(nil)))
	require.NoError(t, err)
	require.Zero(t, got.Version)
}
