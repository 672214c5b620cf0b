// Package lwticket defines change tickets. A ticket carries a number and the
// whole new state of each object it touches, so that one ticket read alone
// says what will be true; a field left out has its default, never the value it
// had before.
package lwticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// Limits of a ticket.
const (
	MaxTicketBytes = 1 << 20
	maxObjects     = 1000
	maxNameBytes   = 128
	maxTeamTokens  = 32
)

// Defaults of service fields.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultQueue       = 16
	defaultTailTarget  = lwunit.Duration(time.Second)
	defaultTimeout     = lwunit.Duration(30 * time.Second)
	defaultRetention   = lwunit.Duration(24 * time.Hour)
	maxRetention       = lwunit.Duration(7 * 24 * time.Hour)
	defaultRetryBudget = 0.1
	defaultTeamWeight  = 1
	maxSlots           = 1024
	maxConnections     = 65536
)

// Kind is the kind of an object.
type Kind string

// The kinds of object a ticket can set.
const (
	KindService    Kind = "service"
	KindTeam       Kind = "team"
	KindDeployment Kind = "deployment"
)

// Number identifies a ticket. Of two tickets that touch the same object, the
// one with the higher number is the newer.
type Number uint64

// Digest is the SHA-256 of a ticket's canonical form, in hexadecimal.
type Digest string

// Key names one object. An empty region means all regions.
type Key struct {
	Region lwunit.Region `json:"region,omitempty"`
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
}

// String returns region/kind/name.
func (k Key) String() string { return string(k.Region) + "/" + string(k.Kind) + "/" + k.Name }

// Less orders keys.
func (k Key) Less(o Key) bool { return k.String() < o.String() }

// Spec is the whole state of an object.
type Spec interface{ spec() }

// ServiceSpec is the state of a latency-critical service.
type ServiceSpec struct {
	Team          lwunit.TeamName  `json:"team"`
	Slots         int              `json:"slots"`          // requests at once, a backend server
	Connections   int              `json:"connections"`    // connections, a backend server
	Queue         int              `json:"queue"`          // requests that may wait, a backend server
	TailTarget    lwunit.Duration  `json:"tail_target"`    // promised 99th percentile
	Timeout       lwunit.Duration  `json:"timeout"`        // deadline of requests that name none
	RetryBudget   float64          `json:"retry_budget"`   // retries per first attempt
	KeyRetention  lwunit.Duration  `json:"key_retention"`  // how long a non-idempotent request's record is kept
	Unrepeatable  bool             `json:"unrepeatable"`   // every request is non-idempotent unless marked otherwise
	MaxConcurrent int              `json:"max_concurrent"` // requests at once, an entry; 0 is no limit
	Reserve       lwunit.Resources `json:"reserve"`        // kept free beside a backend server
}

// Role is what a token allows.
type Role string

// The roles. Each includes those before it.
const (
	RoleCaller    Role = "caller"    // send requests to services
	RoleSubmitter Role = "submitter" // and submit and cancel the team's jobs
	RoleOperator  Role = "operator"  // and everything else
)

// Allows reports whether r includes need.
func (r Role) Allows(need Role) bool { return rank(r) >= rank(need) }

func rank(r Role) int {
	switch r {
	case RoleCaller:
		return 1
	case RoleSubmitter:
		return 2
	case RoleOperator:
		return 3
	default:
		return 0
	}
}

// Token is the digest of a bearer token and the role it gives.
type Token struct {
	Role   Role   `json:"role"`
	SHA256 string `json:"sha256"`
}

// TokenDigest returns the digest by which a team's token is configured.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TeamSpec is the state of a team.
type TeamSpec struct {
	Quota         lwunit.Resources `json:"quota"`          // what the team's tasks may use when others need theirs
	Weight        int              `json:"weight"`         // share of spare resources
	MaxConcurrent int              `json:"max_concurrent"` // requests at once, an entry; 0 is no limit
	Tokens        []Token          `json:"tokens"`
}

// DeploymentSpec is the state of one firm's deployment: what its scheduler
// weighs.
type DeploymentSpec struct {
	TailWeight       float64         `json:"tail_weight"`
	ThroughputWeight float64         `json:"throughput_weight"`
	EvictionWeight   float64         `json:"eviction_weight"`
	EvictionBudget   int             `json:"eviction_budget"` // evictions for interference, an hour
	JobRetention     lwunit.Duration `json:"job_retention"`   // how long a finished job stays listed
}

func (ServiceSpec) spec()    {}
func (TeamSpec) spec()       {}
func (DeploymentSpec) spec() {}

// Object is an object's key and its whole state; a nil Spec removes it.
type Object struct {
	Key  Key
	Spec Spec
}

// Ticket is one change.
type Ticket struct {
	Number  Number
	Author  string
	Comment string
	Objects []Object // sorted by key
}

type wireTicket struct {
	Number  Number       `json:"number"`
	Author  string       `json:"author"`
	Comment string       `json:"comment,omitempty"`
	Objects []wireObject `json:"objects"`
}

type wireObject struct {
	Region lwunit.Region   `json:"region,omitempty"`
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Absent bool            `json:"absent,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}

// Decode reads and checks a ticket. Unknown fields are refused.
func Decode(data []byte) (Ticket, error) {
	if len(data) > MaxTicketBytes {
		return Ticket{}, lwfault.New(lwfault.TooLarge, "a ticket may have %d bytes, this one has %d", MaxTicketBytes, len(data))
	}
	var w wireTicket
	if err := strict(data, &w); err != nil {
		return Ticket{}, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "ticket", Cause: err}
	}
	t := Ticket{Number: w.Number, Author: w.Author, Comment: w.Comment}
	for i, o := range w.Objects {
		obj, err := decodeObject(o)
		if err != nil {
			return Ticket{}, &lwfault.Fault{Kind: lwfault.Invalid, Detail: fmt.Sprintf("object %d (%s %q)", i, o.Kind, o.Name), Cause: err}
		}
		t.Objects = append(t.Objects, obj)
	}
	sort.Slice(t.Objects, func(i, j int) bool { return t.Objects[i].Key.Less(t.Objects[j].Key) })
	return t, t.check()
}

func strict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return lwfault.New(lwfault.Invalid, "data after the document")
	}
	return nil
}

func (t Ticket) check() error {
	switch {
	case t.Number == 0:
		return lwfault.New(lwfault.Invalid, "ticket: number must be at least 1")
	case t.Author == "" || len(t.Author) > maxNameBytes:
		return lwfault.New(lwfault.Invalid, "ticket: author must have 1 to %d bytes", maxNameBytes)
	case len(t.Objects) == 0 || len(t.Objects) > maxObjects:
		return lwfault.New(lwfault.Invalid, "ticket: 1 to %d objects are allowed", maxObjects)
	}
	for i := 1; i < len(t.Objects); i++ {
		if t.Objects[i].Key == t.Objects[i-1].Key {
			return lwfault.New(lwfault.Invalid, "ticket: %s appears twice", t.Objects[i].Key)
		}
	}
	return nil
}

func decodeObject(w wireObject) (Object, error) {
	o := Object{Key: Key{w.Region, w.Kind, w.Name}}
	if w.Name == "" || len(w.Name) > maxNameBytes {
		return o, lwfault.New(lwfault.Invalid, "name must have 1 to %d bytes", maxNameBytes)
	}
	if w.Absent != (len(w.Spec) == 0) {
		return o, lwfault.New(lwfault.Invalid, "give either spec or \"absent\": true")
	}
	var err error
	switch w.Kind {
	case KindService:
		o.Spec, err = decodeService(w)
	case KindTeam:
		o.Spec, err = decodeTeam(w)
	case KindDeployment:
		o.Spec, err = decodeDeployment(w)
	default:
		err = lwfault.New(lwfault.Invalid, "kind must be service, team or deployment")
	}
	if w.Absent {
		o.Spec = nil
	}
	return o, err
}

func decodeService(w wireObject) (Spec, error) {
	s := ServiceSpec{
		Slots: defaultSlots, Connections: defaultConnections, Queue: defaultQueue, TailTarget: defaultTailTarget,
		Timeout: defaultTimeout, RetryBudget: defaultRetryBudget, KeyRetention: defaultRetention,
	}
	if w.Absent {
		return nil, nil
	}
	if err := strict(w.Spec, &s); err != nil {
		return nil, err
	}
	switch {
	case s.Team == "":
		return nil, lwfault.New(lwfault.Invalid, "spec.team is required")
	case s.Slots < 1 || s.Slots > maxSlots:
		return nil, lwfault.New(lwfault.Invalid, "spec.slots must be 1 to %d", maxSlots)
	case s.Connections < 1 || s.Connections > maxConnections:
		return nil, lwfault.New(lwfault.Invalid, "spec.connections must be 1 to %d", maxConnections)
	case s.Queue < 0 || s.MaxConcurrent < 0:
		return nil, lwfault.New(lwfault.Invalid, "spec.queue and spec.max_concurrent must not be negative")
	case s.TailTarget <= 0 || s.Timeout <= 0:
		return nil, lwfault.New(lwfault.Invalid, "spec.tail_target and spec.timeout must be over 0")
	case s.RetryBudget < 0 || s.RetryBudget > 1:
		return nil, lwfault.New(lwfault.Invalid, "spec.retry_budget must be 0 to 1")
	case s.KeyRetention <= 0 || s.KeyRetention > maxRetention:
		return nil, lwfault.New(lwfault.Invalid, "spec.key_retention must be over 0 and at most %s", maxRetention)
	case s.Reserve.Negative():
		return nil, lwfault.New(lwfault.Invalid, "spec.reserve must not be negative")
	}
	return s, nil
}

func decodeTeam(w wireObject) (Spec, error) {
	s := TeamSpec{Weight: defaultTeamWeight}
	if w.Absent {
		return nil, nil
	}
	if err := strict(w.Spec, &s); err != nil {
		return nil, err
	}
	switch {
	case s.Quota.Negative() || s.MaxConcurrent < 0:
		return nil, lwfault.New(lwfault.Invalid, "spec.quota and spec.max_concurrent must not be negative")
	case s.Weight < 1:
		return nil, lwfault.New(lwfault.Invalid, "spec.weight must be at least 1")
	case len(s.Tokens) > maxTeamTokens:
		return nil, lwfault.New(lwfault.Invalid, "spec.tokens may hold %d tokens", maxTeamTokens)
	}
	for _, token := range s.Tokens {
		if raw, err := hex.DecodeString(token.SHA256); err != nil || len(raw) != sha256.Size || rank(token.Role) == 0 {
			return nil, lwfault.New(lwfault.Invalid, "spec.tokens: each needs a role (caller, submitter, operator) and a sha256 of 64 hexadecimal digits")
		}
	}
	return s, nil
}

func decodeDeployment(w wireObject) (Spec, error) {
	s := DeploymentSpec{TailWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, EvictionBudget: 12, JobRetention: maxRetention}
	if w.Absent {
		return nil, nil
	}
	if err := strict(w.Spec, &s); err != nil {
		return nil, err
	}
	if s.TailWeight < 0 || s.ThroughputWeight < 0 || s.EvictionWeight < 0 || s.EvictionBudget < 0 || s.JobRetention <= 0 {
		return nil, lwfault.New(lwfault.Invalid, "weights and eviction_budget must not be negative, job_retention must be over 0")
	}
	return s, nil
}

// Canonical returns the ticket as JSON with objects sorted by key, fields in a
// fixed order and every default written out.
func (t Ticket) Canonical() ([]byte, error) {
	w := wireTicket{Number: t.Number, Author: t.Author, Comment: t.Comment}
	for _, o := range t.Objects {
		wo, err := encodeObject(o)
		if err != nil {
			return nil, err
		}
		w.Objects = append(w.Objects, wo)
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode ticket: %w", err)
	}
	return data, nil
}

func encodeObject(o Object) (wireObject, error) {
	w := wireObject{Region: o.Key.Region, Kind: o.Key.Kind, Name: o.Key.Name, Absent: o.Spec == nil}
	if o.Spec == nil {
		return w, nil
	}
	data, err := json.Marshal(o.Spec)
	if err != nil {
		return w, fmt.Errorf("encode %s: %w", o.Key, err)
	}
	w.Spec = data
	return w, nil
}

// Digest returns the digest of the canonical form. Two tickets are the same
// when their digests are equal.
func (t Ticket) Digest() (Digest, error) {
	data, err := t.Canonical()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:])), nil
}

// MarshalJSON writes the object as it stands in a ticket.
func (o Object) MarshalJSON() ([]byte, error) {
	w, err := encodeObject(o)
	if err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads the object as it stands in a ticket.
func (o *Object) UnmarshalJSON(data []byte) error {
	var w wireObject
	if err := strict(data, &w); err != nil {
		return err
	}
	obj, err := decodeObject(w)
	if err != nil {
		return err
	}
	*o = obj
	return nil
}
