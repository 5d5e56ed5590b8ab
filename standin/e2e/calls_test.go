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

const callTimeout = 5 * time.Second

// callJSON makes one JSON-RPC call to a stand-in.
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

// link applies "cut" or "restore" to every link whose name begins with prefix.
func (f *fleet) setLinks(method, prefix, direction string) error {
	return f.callLinks(method, prefix, map[string]any{"direction": direction})
}

// delay delays both directions of every link whose name begins with prefix.
func (f *fleet) delayLinks(prefix string, d time.Duration) error {
	return f.callLinks("delay", prefix, map[string]any{"ms": d.Milliseconds()})
}

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

type linkStatus struct {
	Connections int `json:"connections"`
}

// isolate stops replication between a member and the members listed; an empty
// list ends it.
func (f *fleet) cutReplication(m *memberNode, others ...string) error {
	var status member.Status
	return callJSON(m.statusAddress, "fault.cut", member.CutParams{Peers: append([]string{}, others...)}, &status)
}

// outage makes the platform drop every call for a time.
func (f *fleet) startPlatformOutage(d time.Duration) error {
	return f.setPlatformFaults(kvservice.Faults{OutageMS: d.Milliseconds()})
}

// lose makes the platform apply the next n changes without an answer.
func (f *fleet) loseResponses(n int) error {
	return f.setPlatformFaults(kvservice.Faults{LoseAnswers: n})
}

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
		return errors.New("platform fault: " + response.Status)
	}
	return nil
}

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

func (f *fleet) checkReady(i int) error {
	return f.checkPage(i, "/readyz")
}

// get asks for a page without a key and expects status 200.
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

// ctl runs the operators' command line against an instance.
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

// edit applies catalogue edits through an instance.
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

func editOperation(name string, args map[string]any) map[string]any {
	return map[string]any{"op": name, "args": args}
}

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
