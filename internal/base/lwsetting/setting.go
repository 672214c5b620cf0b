// Package lwsetting reads the settings of a process: JSON with comments,
// checked strictly, so that a mistake is told with its file and line before
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
	minKeyBytes     = 16
	sha256HexDigits = 64
	defaultStopTime = lwunit.Duration(30 * time.Second)
	defaultNotice   = lwunit.Duration(2 * time.Second)
	defaultMemory   = 48 * lwunit.MiB
)

// Settings are the settings of one process. A role runs if its part is there.
type Settings struct {
	Name           string               `json:"name"`
	Region         lwunit.Region        `json:"region"`
	FailureDomain  lwunit.FailureDomain `json:"failure_domain"`
	ClusterKeyFile string               `json:"cluster_key_file"` // secret shared by all processes of the system
	RPCAddress     string               `json:"rpc_address"`      // IP:port for the system's own processes; only control needs a fixed one
	Control        []string             `json:"control_addresses"`
	StopTime       lwunit.Duration      `json:"stop_time"`    // longest graceful stop
	LogLevel       string               `json:"log_level"`    // debug, info, warn or error
	MemoryLimit    lwunit.Bytes         `json:"memory_limit"` // soft limit of the Go runtime

	Entry *Entry   `json:"entry,omitempty"`
	Agent *Agent   `json:"agent,omitempty"`
	Serve *Replica `json:"control,omitempty"`

	// ClusterKey is the secret itself, for platforms that render settings for
	// each process and have no file to put it in.
	InlineKey string  `json:"cluster_key,omitempty"`
	Hosted    *Hosted `json:"hosted,omitempty"` // replaces the parts above on a provider's machines

	key string
}

// Entry are the settings of the entry role.
type Entry struct {
	Address        string          `json:"address"`                         // IP:port for callers and operators
	OperatorSHA256 string          `json:"operator_token_sha256,omitempty"` // digest of a token that is an operator from the start
	DrainNotice    lwunit.Duration `json:"drain_notice"`                    // from readiness off to the listener closing
	// ConnectionsPerAddress bounds what one IP address may open; 0 is no limit,
	// which a balancer that hides callers' addresses needs.
	ConnectionsPerAddress int `json:"connections_per_address"`
}

// Agent are the settings of the agent role.
type Agent struct {
	GateAddress string           `json:"gate_address"` // IP:port for entries and the backend server
	PlatformURL string           `json:"platform_url"` // platform interface of this worker
	Worker      lwunit.WorkerID  `json:"worker"`
	Rack        lwunit.Rack      `json:"rack"`
	Capacity    lwunit.Resources `json:"capacity"`
}

// Replica are the settings of the control role.
type Replica struct {
	Folder string `json:"folder"` // data folder, on the VM's disk
}

// Problem is a mistake in a settings file.
type Problem struct {
	File   string // path of the file
	Line   int    // from 1; 0 when it is not at one place
	Detail string // what is expected
}

// Error names file, line and what is expected.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Detail)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Detail)
}

// ClusterKey returns the shared secret.
func (s Settings) ClusterKey() string { return s.key }

// SetClusterKey sets the shared secret of settings that come from no file.
func (s *Settings) SetClusterKey(key string) { s.key = key }

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	if s.InlineKey != "" {
		return s, nil
	}
	key, err := os.ReadFile(relative(path, s.ClusterKeyFile))
	if err != nil {
		return Settings{}, &Problem{path, lineOf(data, "cluster_key_file"), fmt.Sprintf("cluster_key_file must be a readable file: %v", err)}
	}
	s.key = strings.TrimSpace(string(key))
	if len(s.key) < minKeyBytes {
		return Settings{}, &Problem{path, lineOf(data, "cluster_key_file"), fmt.Sprintf("the cluster key must have at least %d bytes", minKeyBytes)}
	}
	if s.Serve != nil {
		s.Serve.Folder = relative(path, s.Serve.Folder)
	}
	return s, nil
}

// relative resolves a path against the folder of the settings file.
func relative(settings, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settings), path)
}

// Parse checks the content of a settings file; path is used in errors only.
func Parse(path string, data []byte) (Settings, error) {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Settings{}, &Problem{path, 0, err.Error()}
	}
	if key := duplicateKey(std); key != "" {
		return Settings{}, &Problem{path, lineOf(data, key), fmt.Sprintf("%q appears twice", key)}
	}
	s := Settings{StopTime: defaultStopTime, LogLevel: "info", MemoryLimit: defaultMemory}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &Problem{path, lineOfError(data, dec, err), err.Error()}
	}
	if s.Entry != nil && s.Entry.DrainNotice == 0 {
		s.Entry.DrainNotice = defaultNotice
	}
	s.key = s.InlineKey
	if s.Hosted != nil {
		s.Control = s.Hosted.ControlAddresses()
	}
	if field, detail := s.check(); detail != "" {
		return Settings{}, &Problem{path, lineOf(data, field), detail}
	}
	return s, nil
}

func lineOfError(data []byte, dec *json.Decoder, err error) int {
	if _, field, ok := strings.Cut(err.Error(), "unknown field \""); ok {
		return lineOf(data, strings.TrimSuffix(field, "\""))
	}
	if e, ok := errors.AsType[*lwunit.FormatError](err); ok {
		if at := regexp.MustCompile(`:\s*` + regexp.QuoteMeta(e.Raw)).FindIndex(data); at != nil {
			return 1 + bytes.Count(data[:at[1]], []byte("\n"))
		}
	}
	offset := dec.InputOffset()
	if e, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		offset = e.Offset
	}
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// lineOf returns the line of a field's first mention, or 0.
func lineOf(data []byte, field string) int {
	at := bytes.Index(data, []byte(`"`+field+`"`))
	if at < 0 {
		return 0
	}
	return 1 + bytes.Count(data[:at], []byte("\n"))
}

// duplicateKey returns a key that appears twice in one object, or "".
func duplicateKey(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	type frame struct {
		keys   map[string]bool
		wantsK bool
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
				stack = append(stack, &frame{keys: make(map[string]bool), wantsK: true})
			case '[':
				stack = append(stack, &frame{})
			default:
				stack = stack[:top]
				if top > 0 && stack[top-1].keys != nil {
					stack[top-1].wantsK = true
				}
			}
			continue
		case string:
			if top >= 0 && stack[top].keys != nil && stack[top].wantsK {
				if stack[top].keys[t] {
					return t
				}
				stack[top].keys[t] = true
				stack[top].wantsK = false
				continue
			}
		}
		if top >= 0 && stack[top].keys != nil {
			stack[top].wantsK = true
		}
	}
}

// check returns the first field that is wrong and what it must be.
func (s Settings) check() (field, detail string) {
	switch {
	case s.Name == "":
		return "name", "name is required"
	case s.FailureDomain == "":
		return "failure_domain", "failure_domain is required"
	case s.ClusterKeyFile == "" && s.key == "":
		return "cluster_key_file", "cluster_key_file is required"
	case len(s.Control) == 0:
		return "control_addresses", "control_addresses must name the RPC address of each control replica"
	case s.InlineKey != "" && len(s.InlineKey) < minKeyBytes:
		return "cluster_key", fmt.Sprintf("cluster_key must have at least %d bytes", minKeyBytes)
	case s.Hosted != nil:
		return s.Hosted.check()
	case s.Entry == nil && s.Agent == nil && s.Serve == nil:
		return "", "at least one of entry, agent and control is required"
	case s.StopTime <= 0:
		return "stop_time", "stop_time must be over 0"
	case s.MemoryLimit < 16*lwunit.MiB:
		return "memory_limit", "memory_limit must be at least 16MiB"
	}
	if !validLevel(s.LogLevel) {
		return "log_level", "log_level must be debug, info, warn or error"
	}
	if field, detail := s.checkRoles(); detail != "" {
		return field, detail
	}
	return s.checkAddresses()
}

func validLevel(l string) bool {
	return l == "debug" || l == "info" || l == "warn" || l == "error"
}

func (s Settings) checkRoles() (field, detail string) {
	if e := s.Entry; e != nil && e.OperatorSHA256 != "" {
		if raw, err := hex.DecodeString(e.OperatorSHA256); err != nil || len(raw)*2 != sha256HexDigits {
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
	if s.Serve != nil && s.Serve.Folder == "" {
		return "folder", "control.folder is required"
	}
	if s.Serve != nil && s.RPCAddress == "" {
		return "rpc_address", "rpc_address is required for control"
	}
	return "", ""
}

func (s Settings) checkAddresses() (field, detail string) {
	used := make(map[string]string)
	check := func(name, address string) string {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Sprintf("%s must be an IP address and a port, such as 10.0.0.5:7400, not %q", name, address)
		}
		if other, ok := used[address]; ok {
			return fmt.Sprintf("%s and %s have the same address %s", other, name, address)
		}
		if !strings.HasSuffix(address, ":0") {
			used[address] = name
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
	used = make(map[string]string)
	for i, a := range s.Control {
		if d := check(fmt.Sprintf("control_addresses[%d]", i), a); d != "" {
			return "control_addresses", d
		}
	}
	return "", ""
}

// Effective returns the settings as JSON with defaults filled in.
func (s Settings) Effective() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return append(data, '\n'), nil
}
