package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
	"github.com/sassafrasshunt/sassafrasshunt/standin/kvservice"
	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// callTimeout is the timeout of one call to a stand-in or an instance.
const callTimeout = 5 * time.Second

// callJSON makes one JSON-RPC call to a stand-in and decodes its result.
func callJSON(address, method string, params, result any) error {
	return callWithTimeout(callTimeout, address, method, params, result)
}

func callWithTimeout(timeout time.Duration, address, method string, params, result any) error {
	response, err := endpoint.Call(timeout, address, method, params)
	if err != nil {
		return err
	}
	return json.Unmarshal(response, result)
}

// setLinks applies the method "cut" or "restore" to the links that callLinks
// selects. An empty direction means both.
func (f *fleet) setLinks(method, prefix, direction string) error {
	return f.callLinks(method, prefix, map[string]any{"direction": direction})
}

// delayLinks delays both directions of the links that callLinks selects.
func (f *fleet) delayLinks(prefix string, d time.Duration) error {
	return f.callLinks("delay", prefix, map[string]any{"ms": d.Milliseconds()})
}

// callLinks calls a method of the fault proxy for the link with the name prefix
// and for every link below it ("instance-1" selects "instance-1/platform"). It
// returns an error if there is none.
func (f *fleet) callLinks(method, prefix string, params map[string]any) error {
	controlAddress := f.proxy.ControlAddress().String()
	var links map[string]linkStatus
	if err := callJSON(controlAddress, "status", struct{}{}, &links); err != nil {
		return err
	}
	found := false
	for name := range links {
		if name != prefix && !strings.HasPrefix(name, prefix+"/") {
			continue
		}
		found = true
		var ignored json.RawMessage
		params["link"] = name
		if err := callJSON(controlAddress, method, params, &ignored); err != nil {
			return err
		}
	}
	if !found {
		return errors.New("no link " + prefix)
	}
	return nil
}

// linkStatus is the part of the fault proxy's link status that is decoded.
type linkStatus struct {
	Connections int `json:"connections"`
}

// cutReplication stops replication between a member and the others listed. An
// empty list restores it.
func (f *fleet) cutReplication(m *memberNode, others ...string) error {
	var status member.Status
	return callJSON(m.statusAddress, "fault.cut", member.CutParams{Peers: append([]string{}, others...)}, &status)
}

// startPlatformOutage makes the platform drop every call for the duration d.
func (f *fleet) startPlatformOutage(d time.Duration) error {
	return f.setPlatformFaults(kvservice.Faults{OutageMS: d.Milliseconds()})
}

// loseResponses makes the platform apply the next n changes without a response.
func (f *fleet) loseResponses(n int) error {
	return f.setPlatformFaults(kvservice.Faults{LoseResponses: n})
}

// setPlatformFaults sets the faults that the platform injects.
func (f *fleet) setPlatformFaults(faults kvservice.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+f.platformAddress+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("set platform faults: " + response.Status)
	}
	return nil
}

// callAdmin calls the admin API of instance i with the operator key. It expects
// status 200 and decodes the response into result.
func (f *fleet) callAdmin(i int, method, path string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+f.instances[i].adminAddress+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s %s", method, path, response.Status, content)
	}
	return json.Unmarshal(content, result)
}

// checkReady returns nil if instance i reports that it is ready.
func (f *fleet) checkReady(i int) error {
	return f.checkPage(i, "/readyz")
}

// checkPage requests a page of the admin address without a key and expects
// status 200.
func (f *fleet) checkPage(i int, path string) error {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + f.instances[i].adminAddress + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(path + ": " + response.Status)
	}
	return nil
}

func (f *fleet) status(i int) (s control.Status, err error) {
	err = f.callAdmin(i, http.MethodGet, "/v1/status", struct{}{}, &s)
	return s, err
}

// runCtl runs sassafrasshuntctl against instance i and returns its output and
// exit code.
func (f *fleet) runCtl(i int, args ...string) (string, int, error) {
	keyFile := filepath.Join(f.dir, "operator.key")
	if err := os.WriteFile(keyFile, []byte(operatorKey), 0o600); err != nil {
		return "", -1, err
	}
	args = append(args, "-address", f.instances[i].adminAddress)
	cmd := exec.Command(filepath.Join(binDir, "sassafrasshuntctl"), args...)
	cmd.Env = append(os.Environ(), "SASSAFRASSHUNT_OPERATOR_KEY_FILE="+keyFile)
	out, err := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode(), err
}

// editCatalogue applies catalogue edits through instance i and returns the output
// and exit code of sassafrasshuntctl.
func (f *fleet) editCatalogue(i int, edits ...map[string]any) (string, int, error) {
	content, err := json.Marshal(edits)
	if err != nil {
		return "", -1, err
	}
	file, err := os.CreateTemp(f.dir, "edits-*.json")
	if err != nil {
		return "", -1, err
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return "", -1, err
	}
	return f.runCtl(i, "catalogue", "edit", "-file", file.Name())
}

// editOperation returns one operation of a catalogue edit.
func editOperation(name string, args map[string]any) map[string]any {
	return map[string]any{"op": name, "args": args}
}

// putDatabase returns the edit operation that registers the members' database.
func (f *fleet) putDatabase() map[string]any {
	var members []map[string]any
	for i, m := range f.members {
		members = append(members, map[string]any{
			"id": m.id, "address": m.advertisedSQL, "status_address": m.advertisedStatus,
			"domain": domains[i], "slots": f.options.slots,
		})
	}
	return editOperation("put_database", map[string]any{"name": database, "connections": f.options.connections, "members": members})
}

// writeCatalogue registers the database, the account and the entry, and generates
// a key.
func (f *fleet) writeCatalogue() error {
	err := eventually(startTimeout, func() error {
		out, _, err := f.editCatalogue(0,
			f.putDatabase(),
			editOperation("put_account", map[string]any{"name": account, "weight": 4, "rate": f.options.rate, "burst": f.options.burst}),
			editOperation("put_entry", map[string]any{
				"name": entry, "owner": "roads", "account": account, "database": database,
				"class": "urgent", "max_age_ms": 1000, "deadline_ms": 8000,
			}))
		if err != nil {
			return fmt.Errorf("catalogue edit: %w: %s", err, out)
		}
		return nil
	})
	if err != nil {
		return err
	}
	f.keyID, f.key, err = f.generateKey(0)
	return err
}

// generateKey generates a key of the test account through instance i.
func (f *fleet) generateKey(i int) (id, key string, err error) {
	out, _, err := f.runCtl(i, "keys", "give", "-account", account)
	if err != nil {
		return "", "", fmt.Errorf("keys give: %w: %s", err, out)
	}
	for line := range strings.Lines(out) {
		line = strings.TrimSpace(line)
		if value, ok := strings.CutPrefix(line, "key id "); ok {
			id = value
		} else if value, ok := strings.CutPrefix(line, "key "); ok {
			key = value
		}
	}
	return id, key, nil
}
