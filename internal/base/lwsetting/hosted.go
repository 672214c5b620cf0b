package lwsetting

import (
	"net"
	"strconv"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// HostedRole is the one role of a process on a provider's machine.
type HostedRole string

// The roles.
const (
	HostedEntry   HostedRole = "entry"
	HostedControl HostedRole = "control"
	HostedAgent   HostedRole = "agent"
)

// Hosted are the settings of a process on a provider's machine, where one
// process has one role and learns the control replicas from seeds.
type Hosted struct {
	Role        HostedRole `json:"role"`
	IP          string     `json:"ip"`             // at which other VMs reach this one
	Bind        string     `json:"bind,omitempty"` // at which control listens for them, if it is another
	RPCPort     int        `json:"rpc_port"`       // of the control replicas, the same on all VMs
	MetricsPort int        `json:"metrics_port"`   // 0 serves no metrics; an entry takes the port below
	Seeds       []string   `json:"seeds"`          // addresses of up to three VMs that run control
	Found       bool       `json:"found"`          // the whole system starts for the first time
	Tolerate    int        `json:"tolerate"`       // VMs with a disk that may be lost at one time
	Folder      string     `json:"folder,omitempty"`

	CallersAddress   string `json:"callers_address,omitempty"`
	ReadinessAddress string `json:"readiness_address,omitempty"`
	ControlAddress   string `json:"control_address,omitempty"` // for operators, or for the worker beside an agent
	WorkerAddress    string `json:"worker_address,omitempty"`
	AdviceAddress    string `json:"advice_address,omitempty"`
	MachinesAddress  string `json:"machines_address,omitempty"` // of the provider's interface to its machines

	Bounds HostedBounds `json:"bounds"`
}

// HostedBounds are what the provider states of its workers.
type HostedBounds struct {
	HoldMax      lwunit.Duration `json:"hold_max"`      // longest lease
	Harm         lwunit.Duration `json:"harm"`          // for which filling work may push a tail over its target
	SpreadFactor float64         `json:"spread_factor"` // how much slower work is off its rack
}

// Voters returns how many control replicas decide: a majority is left when as
// many as tolerated are lost.
func (h *Hosted) Voters() int { return 2*h.Tolerate + 1 }

// RPCAddress returns where others reach a control replica on this VM.
func (h *Hosted) RPCAddress() string { return h.at(h.IP) }

// ListenAddress returns the address that RPCAddress leads to.
func (h *Hosted) ListenAddress() string {
	if h.Bind != "" {
		return h.at(h.Bind)
	}
	return h.RPCAddress()
}

func (h *Hosted) at(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(h.RPCPort)) }

// MetricsAddress returns where the process serves its metrics, or "". An entry
// and a control replica may share a VM, so each role has a port of its own.
func (h *Hosted) MetricsAddress() string {
	if h.MetricsPort == 0 {
		return ""
	}
	port := h.MetricsPort
	if h.Role == HostedEntry {
		port--
	}
	return net.JoinHostPort(h.IP, strconv.Itoa(port))
}

// ControlAddresses returns the RPC addresses of the replicas that the seeds
// name.
func (h *Hosted) ControlAddresses() []string {
	var list []string
	for _, s := range h.Seeds {
		if ip, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, h.at(ip))
		}
	}
	return list
}

func (h *Hosted) check() (field, detail string) {
	switch {
	case net.ParseIP(h.IP) == nil:
		return "ip", "hosted.ip must be an IP address"
	case h.Bind != "" && net.ParseIP(h.Bind) == nil:
		return "bind", "hosted.bind must be an IP address"
	case h.RPCPort <= 0 || h.RPCPort > 65535:
		return "rpc_port", "hosted.rpc_port must be a port"
	case h.Tolerate < 0:
		return "tolerate", "hosted.tolerate must not be negative"
	case len(h.Seeds) == 0:
		return "seeds", "hosted.seeds must name a VM that runs control"
	case h.Bounds.HoldMax <= 0:
		return "hold_max", "hosted.bounds.hold_max must be over 0"
	}
	needs := map[HostedRole][]struct{ field, value string }{
		HostedEntry:   {{"callers_address", h.CallersAddress}, {"readiness_address", h.ReadinessAddress}},
		HostedControl: {{"control_address", h.ControlAddress}},
		HostedAgent:   {{"control_address", h.ControlAddress}, {"worker_address", h.WorkerAddress}},
	}
	list, ok := needs[h.Role]
	if !ok {
		return "role", "hosted.role must be entry, control or agent"
	}
	for _, n := range list {
		if _, _, err := net.SplitHostPort(n.value); err != nil {
			return n.field, "hosted." + n.field + " must be an IP address and a port"
		}
	}
	return "", ""
}
