// Package lwsetting reads the settings of a process from JSON with comments. It
// checks them strictly and reports a mistake with its file and line before
// anything starts.
package lwsetting

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	minKeyBytes        = 16
	sha256HexDigits    = 64
	defaultStopTime    = lwunit.Duration(30 * time.Second)
	defaultDrainDelay  = lwunit.Duration(2 * time.Second)
	defaultMemoryLimit = 48 * lwunit.MiB

	defaultCallerMemory = 512 * lwunit.MiB
	hostedCallerShare   = 6 // part of the memory limit that callers of a hosted process may take
)

// Settings holds the settings of one process. The process runs each of the
// roles entry, agent and control whose section is present.
type Settings struct {
	Name             string               `json:"name"`
	Region           lwunit.Region        `json:"region"`
	FailureDomain    lwunit.FailureDomain `json:"failure_domain"`
	ClusterKeyFile   string               `json:"cluster_key_file"`  // file with the secret that all processes of the system share
	RPCAddress       string               `json:"rpc_address"`       // IP:port to listen on for other processes of the system; required for control only
	ControlAddresses []string             `json:"control_addresses"` // RPC addresses of the control replicas
	StopTime         lwunit.Duration      `json:"stop_time"`         // time limit of a graceful stop
	LogLevel         string               `json:"log_level"`         // debug, info, warn or error
	MemoryLimit      lwunit.Bytes         `json:"memory_limit"`      // soft memory limit of the Go runtime; on a provider's machines the hard limit of the process

	// CallerMemory is what callers of all HTTP servers of the process may make it hold for their
	// requests, answers and connections; 0 is 512 MiB, on a provider's machines a sixth of MemoryLimit.
	CallerMemory lwunit.Bytes `json:"caller_memory,omitempty"`

	Entry   *Entry   `json:"entry,omitempty"`
	Agent   *Agent   `json:"agent,omitempty"`
	Replica *Replica `json:"control,omitempty"`

	// InlineClusterKey is the cluster key itself, for platforms that render the
	// settings of each process and cannot provide a key file.
	InlineClusterKey string  `json:"cluster_key,omitempty"`
	Hosted           *Hosted `json:"hosted,omitempty"` // replaces the sections above on a provider's machines

	key string // the cluster key, from the file or from InlineClusterKey
}

// Entry holds the settings of the entry role.
type Entry struct {
	Address             string          `json:"address"`                         // IP:port to listen on for callers and operators
	OperatorTokenSHA256 string          `json:"operator_token_sha256,omitempty"` // digest of a token that has the operator role without a ticket
	DrainDelay          lwunit.Duration `json:"drain_notice"`                    // time between reporting not ready and closing the listener
	// MaxConnsPerAddress limits the open connections from one IP address; 0 is
	// no limit. A balancer that hides the callers' addresses requires 0.
	MaxConnsPerAddress int `json:"connections_per_address"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	GateAddress string           `json:"gate_address"` // IP:port to listen on for entries and the backend servers of this VM
	PlatformURL string           `json:"platform_url"` // base URL of this worker's platform API
	Worker      lwunit.WorkerID  `json:"worker"`
	Rack        lwunit.Rack      `json:"rack"`
	Capacity    lwunit.Resources `json:"capacity"`
}

// Replica holds the settings of the control role.
type Replica struct {
	Folder string `json:"folder"` // data folder, on the VM's disk
	// SnapshotSize is the size of the log entries from which they are replaced by a
	// snapshot; 0 is the default.
	SnapshotSize lwunit.Bytes `json:"snapshot_size,omitempty"`
}

// FileError is a mistake in a settings file.
type FileError struct {
	File   string // path of the file
	Line   int    // counted from 1; 0 if the mistake is not on one line
	Detail string // what is wrong or expected
}

// Error returns the file, the line if known, and the detail.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
}

// ClusterKey returns the secret shared by all processes of the system.
func (s Settings) ClusterKey() string { return s.key }

// SetClusterKey sets the cluster key of settings that were not read from a
// file.
func (s *Settings) SetClusterKey(key string) { s.key = key }

// Read reads and checks a settings file and the key file that it names. An
// inline cluster key replaces the key file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	if s.InlineClusterKey != "" {
		return s, nil
	}
	key, err := os.ReadFile(resolvePath(path, s.ClusterKeyFile))
	if err != nil {
		return Settings{}, &FileError{path, lineOf(data, "cluster_key_file"), fmt.Sprintf("cluster_key_file must be a readable file: %v", err)}
	}
	s.key = strings.TrimSpace(string(key))
	if len(s.key) < minKeyBytes {
		return Settings{}, &FileError{path, lineOf(data, "cluster_key_file"), fmt.Sprintf("the cluster key must have at least %d bytes", minKeyBytes)}
	}
	if s.Replica != nil {
		s.Replica.Folder = resolvePath(path, s.Replica.Folder)
	}
	return s, nil
}

// resolvePath resolves a relative path against the folder of the settings file.
func resolvePath(settingsFile, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settingsFile), path)
}

// Parse decodes and checks the content of a settings file; path is only for
// errors.
func Parse(path string, data []byte) (Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Settings{}, &FileError{path, 0, err.Error()}
	}
	if key := duplicateKey(standard); key != "" {
		return Settings{}, &FileError{path, lineOf(data, key), fmt.Sprintf("%q appears twice", key)}
	}
	s := Settings{StopTime: defaultStopTime, LogLevel: "info", MemoryLimit: defaultMemoryLimit}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &FileError{path, lineOfError(data, dec, err), err.Error()}
	}
	if s.Entry != nil && s.Entry.DrainDelay == 0 {
		s.Entry.DrainDelay = defaultDrainDelay
	}
	s.key = s.InlineClusterKey
	if s.Hosted != nil {
		s.ControlAddresses = s.Hosted.ControlAddresses()
	}
	if field, detail := s.check(); detail != "" {
		return Settings{}, &FileError{path, lineOf(data, field), detail}
	}
	return s, nil
}

// lineOfError returns the line in data of a decoding error. For an unknown field
// it is the line where the name first appears, for a malformed quantity that of
// the first equal value, and otherwise that of the decoder's position. The
// decoder reads data without its comments, whose removal keeps byte offsets.
func lineOfError(data []byte, dec *json.Decoder, err error) int {
	if _, field, ok := strings.Cut(err.Error(), "unknown field \""); ok {
		return lineOf(data, strings.TrimSuffix(field, "\""))
	}
	if e, ok := errors.AsType[*lwunit.FormatError](err); ok {
		if match := regexp.MustCompile(`:\s*` + regexp.QuoteMeta(e.Raw)).FindIndex(data); match != nil {
			return 1 + bytes.Count(data[:match[1]], []byte("\n"))
		}
	}
	offset := dec.InputOffset()
	if e, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		offset = e.Offset
	}
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// lineOf returns the line on which the quoted field first appears, or 0.
func lineOf(data []byte, field string) int {
	offset := bytes.Index(data, []byte(`"`+field+`"`))
	if offset < 0 {
		return 0
	}
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// duplicateKey returns the first key that appears twice in one object, or "".
// encoding/json would accept both and keep the last value.
func duplicateKey(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	type frame struct {
		keys      map[string]bool // nil for an array
		expectKey bool            // the next token is a key or the end of the object
	}
	var stack []*frame
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) || err != nil {
			return ""
		}
		top := len(stack) - 1
		switch t := tok.(type) {
		case json.Delim:
			switch t {
			case '{':
				stack = append(stack, &frame{keys: make(map[string]bool), expectKey: true})
			case '[':
				stack = append(stack, &frame{})
			default:
				stack = stack[:top]
				if top > 0 && stack[top-1].keys != nil {
					stack[top-1].expectKey = true
				}
			}
			continue
		case string:
			if top >= 0 && stack[top].keys != nil && stack[top].expectKey {
				if stack[top].keys[t] {
					return t
				}
				stack[top].keys[t] = true
				stack[top].expectKey = false
				continue
			}
		}
		if top >= 0 && stack[top].keys != nil {
			stack[top].expectKey = true
		}
	}
}

// check returns the first invalid field and what is expected of it.
func (s Settings) check() (field, detail string) {
	switch {
	case s.Name == "":
		return "name", "name is required"
	case s.FailureDomain == "":
		return "failure_domain", "failure_domain is required"
	case s.ClusterKeyFile == "" && s.key == "":
		return "cluster_key_file", "cluster_key_file is required"
	case len(s.ControlAddresses) == 0:
		return "control_addresses", "control_addresses must name the RPC address of each control replica"
	case s.InlineClusterKey != "" && len(s.InlineClusterKey) < minKeyBytes:
		return "cluster_key", fmt.Sprintf("cluster_key must have at least %d bytes", minKeyBytes)
	case s.Hosted != nil:
		return s.Hosted.check()
	case s.Entry == nil && s.Agent == nil && s.Replica == nil:
		return "", "at least one of entry, agent and control is required"
	case s.StopTime <= 0:
		return "stop_time", "stop_time must be over 0"
	case s.MemoryLimit < 16*lwunit.MiB:
		return "memory_limit", "memory_limit must be at least 16MiB"
	case s.CallerMemory != 0 && s.CallerMemory < lwunit.MiB:
		return "caller_memory", "caller_memory must be at least 1MiB"
	}
	if !isLogLevel(s.LogLevel) {
		return "log_level", "log_level must be debug, info, warn or error"
	}
	if field, detail := s.checkRoles(); detail != "" {
		return field, detail
	}
	return s.checkAddresses()
}

func isLogLevel(l string) bool {
	return l == "debug" || l == "info" || l == "warn" || l == "error"
}

func (s Settings) checkRoles() (field, detail string) {
	if e := s.Entry; e != nil && e.OperatorTokenSHA256 != "" {
		if raw, err := hex.DecodeString(e.OperatorTokenSHA256); err != nil || len(raw)*2 != sha256HexDigits {
			return "operator_token_sha256", "operator_token_sha256 must have 64 hexadecimal digits"
		}
	}
	if a := s.Agent; a != nil {
		u, err := url.Parse(a.PlatformURL)
		switch {
		case a.Worker == "":
			return "worker", "agent.worker is required"
		case err != nil || u.Scheme != "http" || u.Host == "":
			return "platform_url", "agent.platform_url must be an http URL"
		case a.Capacity.Millicores <= 0 || a.Capacity.Memory <= 0 || a.Capacity.Accelerators < 0:
			return "capacity", "agent.capacity needs millicores and memory over 0, accelerators not negative"
		}
	}
	if s.Replica != nil && s.Replica.Folder == "" {
		return "folder", "control.folder is required"
	}
	if s.Replica != nil && s.Replica.SnapshotSize < 0 {
		return "snapshot_size", "control.snapshot_size must not be negative"
	}
	if s.Replica != nil && s.RPCAddress == "" {
		return "rpc_address", "rpc_address is required for control"
	}
	return "", ""
}

// checkAddresses checks that the addresses are valid and that no two listeners
// and no two control replicas share one. Port 0, for which the kernel chooses a
// free port, may occur more than once.
func (s Settings) checkAddresses() (field, detail string) {
	names := make(map[string]string) // by address
	check := func(name, address string) string {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Sprintf("%s must be an IP address and a port, such as 10.0.0.5:7400, not %q", name, address)
		}
		if other, ok := names[address]; ok {
			return fmt.Sprintf("%s and %s have the same address %s", other, name, address)
		}
		if !strings.HasSuffix(address, ":0") {
			names[address] = name
		}
		return ""
	}
	if s.RPCAddress != "" {
		if d := check("rpc_address", s.RPCAddress); d != "" {
			return "rpc_address", d
		}
	}
	if s.Entry != nil {
		if d := check("entry.address", s.Entry.Address); d != "" {
			return "address", d
		}
	}
	if s.Agent != nil {
		if d := check("agent.gate_address", s.Agent.GateAddress); d != "" {
			return "gate_address", d
		}
	}
	names = make(map[string]string) // a control replica lists its own rpc_address too
	for i, a := range s.ControlAddresses {
		if d := check(fmt.Sprintf("control_addresses[%d]", i), a); d != "" {
			return "control_addresses", d
		}
	}
	return "", ""
}

// Effective returns the settings as indented JSON, with defaults filled in.
func (s Settings) Effective() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return append(data, '\n'), nil
}

// CallerLimit returns CallerMemory or its default.
func (s Settings) CallerLimit() lwunit.Bytes {
	switch {
	case s.CallerMemory > 0:
		return s.CallerMemory
	case s.Hosted != nil:
		return s.MemoryLimit / hostedCallerShare
	default:
		return defaultCallerMemory
	}
}
