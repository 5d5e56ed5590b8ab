package e2e

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// propagationTimeout is the time within which every instance must apply an accepted
// edit (guarantees G6 and G13).
const propagationTimeout = 4 * time.Second

// requireRevoked checks that a session ended because its key was revoked. A statement
// that was running at that time is uncertain, and its error must give the reason.
func requireRevoked(t *testing.T, err error) {
	code := codeOf(err)
	if code == "40003" {
		require.ErrorContains(t, err, "the key is revoked while a statement was running")
		return
	}
	require.Contains(t, []string{"SH008", "lost"}, code, err)
}

// Guards against a revoked key that still works for connected callers, also at an
// instance that learns of the revocation only from its peers.
func TestKeyRevoked(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	ctx := testContext(t)
	id, key, err := f.generateKey(0)
	require.NoError(t, err)
	require.NoError(t, f.setLinks("cut", "instance-2/platform", ""))
	var callers []*pgx.Conn
	for i := range 6 {
		var conn *pgx.Conn
		require.NoError(t, eventually(propagationTimeout, func() (err error) {
			conn, err = f.dial(ctx, i%3, key, nil)
			return err
		}), "the new key must be accepted at instance-%d", i%3)
		callers = append(callers, conn)
	}
	unaffected := f.mustDial(t, 2)
	out, _, err := f.runCtl(0, "keys", "revoke", "-account", account, "-id", id)
	require.NoError(t, err, out)
	revoked := time.Now()
	for i, conn := range callers {
		var last error
		require.NoError(t, eventually(propagationTimeout-time.Since(revoked), func() error {
			if _, last = conn.Exec(ctx, "SELECT 1"); last == nil {
				return errors.New("the revoked key still works")
			}
			return nil
		}), "caller %d at instance-%d, %s after the edit", i, i%3, time.Since(revoked))
		requireRevoked(t, last)
		_, err := f.dial(ctx, i%3, key, nil)
		require.Contains(t, []string{"28P01", "SH008"}, codeOf(err), err)
	}
	_, err = unaffected.Exec(ctx, "SELECT 1")
	require.NoError(t, err, "the account's other key must still work")
}

// versionMonitor records every decrease of the current catalogue version of an
// instance.
type versionMonitor struct {
	cancel      context.CancelFunc
	running     sync.WaitGroup
	mu          sync.Mutex
	regressions []string
}

// monitorVersions polls the current versions of the first instances until stop.
func (f *fleet) monitorVersions(instances int) *versionMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &versionMonitor{cancel: cancel}
	for i := range instances {
		m.running.Go(func() {
			last := uint64(0)
			for ctx.Err() == nil {
				if s, err := f.status(i); err == nil {
					if s.CatalogueVersion < last {
						m.addRegression(fmt.Sprintf("the current version of instance-%d went back from %d to %d", i, last, s.CatalogueVersion))
					}
					last = s.CatalogueVersion
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return m
}

func (m *versionMonitor) addRegression(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.regressions = append(m.regressions, text)
}

// stop ends the polling and returns the decreases that were recorded.
func (m *versionMonitor) stop() []string {
	m.cancel()
	m.running.Wait()
	return m.regressions
}

// putAccount returns the edit operation that writes an account.
func putAccount(name string, rate int) map[string]any {
	return editOperation("put_account", map[string]any{"name": name, "weight": 1, "rate": rate, "burst": rate})
}

// catalogueRates returns the version of an instance's current catalogue and the rates
// of its accounts.
func (f *fleet) catalogueRates(i int) (version uint64, rates map[string]float64, err error) {
	var catalogue struct {
		Version  uint64 `json:"version"`
		Accounts []struct {
			Name string  `json:"name"`
			Rate float64 `json:"rate"`
		} `json:"accounts"`
	}
	err = f.callAdmin(i, http.MethodGet, "/v1/catalogue", struct{}{}, &catalogue)
	rates = map[string]float64{}
	for _, a := range catalogue.Accounts {
		rates[a.Name] = a.Rate
	}
	return catalogue.Version, rates, err
}

// awaitVersion waits until the current catalogue of every instance has at least the
// version.
func (f *fleet) awaitVersion(version uint64) error {
	return eventually(propagationTimeout, func() error {
		for i := range f.instances {
			got, _, err := f.catalogueRates(i)
			if err != nil || got < version {
				return fmt.Errorf("instance-%d has version %d instead of %d: %w", i, got, version, err)
			}
		}
		return nil
	})
}

// Guards against lost or duplicated edits of concurrent operators, and against a
// current version that goes back.
func TestConfigurationRace(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	before, _, err := f.catalogueRates(0)
	require.NoError(t, err)
	monitor := f.monitorVersions(3)
	const rounds = 12
	accepted := make([][]int, 2)
	var operators sync.WaitGroup
	for o := range 2 {
		operators.Go(func() {
			for n := range rounds {
				out, code, _ := f.editCatalogue(o, putAccount(fmt.Sprintf("op-%d-%d", o, n), 10+n), putAccount("shared", 100*(o+1)+n))
				switch code {
				case 0:
					accepted[o] = append(accepted[o], n)
				case 1:
				default:
					t.Errorf("operator %d, edit %d: exit code %d: %s", o, n, code, out)
				}
			}
		})
	}
	operators.Wait()
	total := len(accepted[0]) + len(accepted[1])
	t.Logf("accepted %d of %d edits", total, 2*rounds)
	require.NoError(t, f.awaitVersion(before+uint64(total)))
	require.Empty(t, monitor.stop())
	for i := range 3 {
		version, rates, err := f.catalogueRates(i)
		require.NoError(t, err)
		require.Equal(t, before+uint64(total), version, "one version for each accepted edit")
		for o := range 2 {
			for n := range rounds {
				_, present := rates[fmt.Sprintf("op-%d-%d", o, n)]
				require.Equal(t, slices.Contains(accepted[o], n), present, "edit %d of operator %d at instance-%d", n, o, i)
			}
		}
	}
	require.NotZero(t, total)
}

// Guards against an edit that is applied twice, or reported as refused, because the
// platform's response was lost.
func TestConfigurationLostAnswers(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	version, _, err := f.catalogueRates(0)
	require.NoError(t, err)
	for n := range 5 {
		name := fmt.Sprintf("lost-%d", n)
		require.NoError(t, f.loseResponses(1))
		out, code, _ := f.editCatalogue(n%3, putAccount(name, 10))
		require.Contains(t, []int{0, 3}, code, out)
		if code == 3 {
			t.Logf("edit %d ended uncertain: %s", n, out)
		}
		require.NoError(t, f.awaitVersion(version+1))
		got, rates, err := f.catalogueRates(n % 3)
		require.NoError(t, err)
		require.Equal(t, version+1, got, "the edit must count once")
		require.Contains(t, rates, name)
		version = got
	}
}

// Guards against a new instance that needs the platform to get the catalogue.
func TestConfigurationSeeds(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	version, _, err := f.catalogueRates(0)
	require.NoError(t, err)
	require.NoError(t, f.startPlatformOutage(8*time.Second))
	seeds := fmt.Sprintf("listen.seeds = [%q, %q]", f.instances[0].peerAddress, f.instances[1].peerAddress)
	started := time.Now()
	_, err = f.addInstance([]string{seeds})
	require.NoError(t, err)
	require.NoError(t, eventually(6*time.Second, func() error {
		got, _, err := f.catalogueRates(3)
		if err == nil && got != version {
			err = fmt.Errorf("version %d instead of %d", got, version)
		}
		return err
	}))
	require.Less(t, time.Since(started), 8*time.Second, "the platform must still be down")
	require.Error(t, f.checkReady(3), "at a new address the instance gets no share while the platform is down")
	require.NoError(t, f.awaitInstanceReady(3))
	// A new share starts without tokens, so the first statement may be refused.
	conn := f.mustDial(t, 3)
	require.NoError(t, eventually(propagationTimeout, func() error {
		_, err := conn.Exec(testContext(t), "SELECT 1")
		return err
	}))
}

// Guards against keys in logs, traces, errors, admin pages and platform records.
// Callers use right and wrong keys and cause errors and traces; then the test searches
// all captured output.
func TestKeyNowhere(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.settings = []string{`trace.exporter = "stdout"`, `log.level = "debug"`}
	f := startFleet(t, o)
	ctx := testContext(t)
	wrong := "wrong-" + f.key
	h := f.startLoad(6, 1)
	var texts [][]byte
	for i := range 3 {
		_, err := f.dial(ctx, i, wrong, nil)
		require.Equal(t, "28P01", codeOf(err), err)
		texts = append(texts, serverErrorText(err))
		conn := f.mustDial(t, i)
		_, err = conn.Exec(ctx, "SELECT broken FROM nowhere", pgx.QueryExecModeSimpleProtocol)
		require.Error(t, err)
		texts = append(texts, serverErrorText(err))
	}
	time.Sleep(2 * time.Second)
	out, _, err := f.runCtl(1, "keys", "revoke", "-account", account, "-id", f.keyID)
	require.NoError(t, err, out)
	time.Sleep(time.Second)
	h.stop()
	for i := range 3 {
		for _, path := range []string{"/debug/vars", "/v1/status", "/v1/catalogue", "/v1/catalogue/history", "/v1/explain?account=" + account} {
			texts = append(texts, f.adminPage(t, i, path))
		}
	}
	texts = append(texts, f.platformRecords(t))
	files, err := filepath.Glob(filepath.Join(f.dir, "*"))
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		texts = append(texts, text)
	}
	traced := 0
	for _, text := range texts {
		traced += bytes.Count(text, []byte("TraceID"))
		for _, encoded := range encodings(f.key) {
			require.False(t, bytes.Contains(text, encoded), "the key is contained in: %.300s", excerpt(text, encoded))
		}
	}
	require.NotZero(t, traced, "the traces must be among the searched texts")
}

// serverErrorText returns all fields of a server's error as text.
func serverErrorText(err error) []byte {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return fmt.Appendf(nil, "%+v", *pg)
	}
	return nil
}

// encodings returns the key as text, in hexadecimal, and in base64 at each of the
// three alignments.
func encodings(key string) [][]byte {
	results := [][]byte{[]byte(key), []byte(hex.EncodeToString([]byte(key)))}
	for shift := range 3 {
		encoded := base64.RawStdEncoding.EncodeToString(append(make([]byte, shift), key...))
		// The first and last characters also depend on the bytes around the key.
		results = append(results, []byte(encoded[4:len(encoded)-4]))
	}
	return results
}

// excerpt returns the text around the first occurrence of encoded.
func excerpt(text, encoded []byte) []byte {
	at := bytes.Index(text, encoded)
	return text[max(0, at-100):min(len(text), max(at, 0)+200)]
}

// adminPage returns a page of an instance's admin API.
func (f *fleet) adminPage(t *testing.T, i int, path string) []byte {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.instances[i].adminAddress+path, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	return fetchBody(t, request)
}

// platformRecords returns every record of the platform.
func (f *fleet) platformRecords(t *testing.T) []byte {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.platformAddress+"/watch?prefix=&after=0&timeout_ms=100", nil)
	require.NoError(t, err)
	return fetchBody(t, request)
}

// fetchBody sends a request and returns the body of its response, which must not be
// empty.
func fetchBody(t *testing.T, request *http.Request) []byte {
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NotEmpty(t, text)
	return text
}
