package lwsetting

import (
	"net"
	"strconv"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// HostedRole is the only role of a process on a provider's machine.
type HostedRole string

// The roles of a hosted process.
const (
	HostedEntry   HostedRole = "entry"
	HostedControl HostedRole = "control"
	HostedAgent   HostedRole = "agent"
)

// Hosted holds the settings of a process on a provider's machine. Such a
// process has one role and finds the control replicas through seed addresses.
type Hosted struct {
	Role            HostedRole `json:"role"`
	IP              string     `json:"ip"`               // address of this VM for other VMs
	Bind            string     `json:"bind,omitempty"`   // address that control listens on, if not IP
	RPCPort         int        `json:"rpc_port"`         // of every control replica, the same on all VMs
	MetricsPort     int        `json:"metrics_port"`     // port that serves the metrics; an entry uses the port below it; 0 for none
	Seeds           []string   `json:"seeds"`            // IP:port of up to three VMs that run control
	Bootstrap       bool       `json:"found"`            // the whole system starts for the first time
	ToleratedLosses int        `json:"tolerate"`         // number of VMs with a disk that may be lost at the same time
	DataFolder      string     `json:"folder,omitempty"` // data folder, on the VM's disk; without one, control runs no replica

	SnapshotSize lwunit.Bytes `json:"snapshot_size,omitempty"` // as Replica.SnapshotSize

	CallersAddress   string `json:"callers_address,omitempty"`
	ReadinessAddress string `json:"readiness_address,omitempty"`
	ControlAddress   string `json:"control_address,omitempty"`  // serves operators, or the worker beside an agent
	WorkerAddress    string `json:"worker_address,omitempty"`   // of the worker beside an agent
	AdviceAddress    string `json:"advice_address,omitempty"`   // of the provider's advice service
	MachinesAddress  string `json:"machines_address,omitempty"` // of the provider's API for its machines; unused

	Bounds HostedBounds `json:"bounds"`

	// FailureDomains are the names of all failure domains; without them every name is
	// taken for one.
	FailureDomains []lwunit.FailureDomain `json:"failure_domains,omitempty"`
	Load           LoadMode               `json:"load,omitempty"`      // empty is LoadAuto
	Admission      bool                   `json:"admission,omitempty"` // refuse jobs of filling work that would end after their objective
}

// LoadMode says whether the leader plans which jobs it can finish in time, refuses those
// that it cannot, starts copies of slow tasks and learns the speeds of workers.
type LoadMode string

// The modes.
const (
	LoadAuto LoadMode = "auto" // on if the bounds call for it
	LoadOn   LoadMode = "on"
	LoadOff  LoadMode = "off"
)

// maxCheapInterruption is the mean loss of an interruption up to which LoadAuto is on.
const maxCheapInterruption = 500 * time.Millisecond

// LoadControl reports whether load control is on. LoadAuto turns it on where failure
// domains may be evacuated, since the others must then serve with one less, and where work
// can be interrupted at little cost.
func (h *Hosted) LoadControl() bool {
	switch h.Load {
	case LoadOn:
		return true
	case LoadOff:
		return false
	default:
		loss := h.Bounds.InterruptionLoss()
		return h.Bounds.Evacuation > 0 || (loss > 0 && loss <= maxCheapInterruption)
	}
}

// HostedBounds holds the limits that the provider states for work on its
// workers.
type HostedBounds struct {
	MaxLease          lwunit.Duration `json:"hold_max"`      // longest lease; shortens the default
	MaxTimeOverTarget lwunit.Duration `json:"harm"`          // for how long filling work may keep a tail latency over its target; 0 is the default
	OffRackSlowdown   float64         `json:"spread_factor"` // factor by which work is slower outside its preferred rack; 0 is the default

	Evacuation         lwunit.Duration `json:"evacuate,omitempty"`     // from the acknowledgement of an evacuation until no task is started in the domain; 0 if none are agreed
	CheckpointInterval lwunit.Duration `json:"checkpoint,omitempty"`   // work after which a run writes a checkpoint
	RestoreTime        lwunit.Duration `json:"restore,omitempty"`      // time that a run needs to resume from a checkpoint
	ColdOverage        float64         `json:"cold_overage,omitempty"` // a cold worker may be given at most this multiple of what it bears
	ColdSlack          int             `json:"cold_slack,omitempty"`   // and at most this many tasks more
}

// InterruptionLoss returns the mean time that a checkpointed run loses when it is stopped
// and resumed elsewhere: half of the work between two checkpoints, and the restore. It is
// 0 if the provider states no checkpoints.
func (b HostedBounds) InterruptionLoss() time.Duration {
	if b.CheckpointInterval <= 0 {
		return 0
	}
	return b.CheckpointInterval.Std()/2 + b.RestoreTime.Std()
}

// Voters returns the number of voting control replicas. A majority of them
// remains when as many as tolerated are lost.
func (h *Hosted) Voters() int { return 2*h.ToleratedLosses + 1 }

// RPCAddress returns the address of this VM's control replica for other VMs.
func (h *Hosted) RPCAddress() string { return h.withRPCPort(h.IP) }

// ListenAddress returns the address that a control replica on this VM listens
// on.
func (h *Hosted) ListenAddress() string {
	if h.Bind != "" {
		return h.withRPCPort(h.Bind)
	}
	return h.RPCAddress()
}

func (h *Hosted) withRPCPort(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(h.RPCPort)) }

// MetricsAddress returns the address that serves the metrics, or "" for none.
// An entry and a control replica may share a VM, so an entry has a port of its
// own.
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

// ControlAddresses returns the RPC addresses of the control replicas on the
// seeds' VMs.
func (h *Hosted) ControlAddresses() []string {
	var list []string
	for _, seed := range h.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			list = append(list, h.withRPCPort(ip))
		}
	}
	return list
}

// check returns the first invalid field and what is expected of it.
func (h *Hosted) check() (field, detail string) {
	switch {
	case net.ParseIP(h.IP) == nil:
		return "ip", "hosted.ip must be an IP address"
	case h.Bind != "" && net.ParseIP(h.Bind) == nil:
		return "bind", "hosted.bind must be an IP address"
	case h.RPCPort <= 0 || h.RPCPort > 65535:
		return "rpc_port", "hosted.rpc_port must be a port number from 1 to 65535"
	case h.ToleratedLosses < 0:
		return "tolerate", "hosted.tolerate must not be negative"
	case h.SnapshotSize < 0:
		return "snapshot_size", "hosted.snapshot_size must not be negative"
	case len(h.Seeds) == 0:
		return "seeds", "hosted.seeds must name a VM that runs control"
	case h.Bounds.MaxLease <= 0:
		return "hold_max", "hosted.bounds.hold_max must be over 0"
	case h.Load != "" && h.Load != LoadAuto && h.Load != LoadOn && h.Load != LoadOff:
		return "load", "hosted.load must be auto, on or off"
	case h.Bounds.Evacuation < 0:
		return "evacuate", "hosted.bounds.evacuate must not be negative"
	case h.Bounds.CheckpointInterval < 0:
		return "checkpoint", "hosted.bounds.checkpoint must not be negative"
	case h.Bounds.RestoreTime < 0:
		return "restore", "hosted.bounds.restore must not be negative"
	}
	addresses := map[HostedRole][]struct{ field, value string }{
		HostedEntry:   {{"callers_address", h.CallersAddress}, {"readiness_address", h.ReadinessAddress}},
		HostedControl: {{"control_address", h.ControlAddress}},
		HostedAgent:   {{"control_address", h.ControlAddress}, {"worker_address", h.WorkerAddress}},
	}
	required, ok := addresses[h.Role]
	if !ok {
		return "role", "hosted.role must be entry, control or agent"
	}
	for _, a := range required {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return a.field, "hosted." + a.field + " must be an IP address and a port"
		}
	}
	return "", ""
}
