// Package lwticket defines change tickets. A ticket carries a number and the
// complete new spec of each object that it sets, so its effect does not depend on
// the earlier state: an omitted field gets its default, never its previous value.
package lwticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
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

// Defaults and limits of specs.
const (
	defaultSlots        = 8
	defaultConnections  = 64
	defaultQueue        = 16
	defaultTailTarget   = lwunit.Duration(time.Second)
	defaultTimeout      = lwunit.Duration(30 * time.Second)
	defaultKeyRetention = lwunit.Duration(24 * time.Hour)
	maxKeyRetention     = lwunit.Duration(7 * 24 * time.Hour) // also the default of job_retention
	defaultRetryBudget  = 0.1
	defaultTeamWeight   = 1
	maxSlots            = 1024
	maxConnections      = 65536
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects that a ticket can set.
const (
	KindService    Kind = "service"
	KindTeam       Kind = "team"
	KindDeployment Kind = "deployment"
)

// Number identifies a ticket. Of two tickets that set the same object, the one
// with the higher number is the newer one.
type Number uint64

// Digest is the SHA-256 of a ticket's canonical form, in hexadecimal.
type Digest string

// Key identifies an object. An empty region means all regions.
type Key struct {
	Region lwunit.Region `json:"region,omitempty"`
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
}

// String returns the key as region/kind/name.
func (k Key) String() string { return string(k.Region) + "/" + string(k.Kind) + "/" + k.Name }

// Less reports whether k sorts before o; keys sort by their String form.
func (k Key) Less(o Key) bool { return k.String() < o.String() }

// Spec is the complete desired state of an object.
type Spec interface{ spec() }

// ServiceSpec is the spec of a latency-critical service.
type ServiceSpec struct {
	Team          lwunit.TeamName  `json:"team"`
	Slots         int              `json:"slots"`          // limit of concurrent requests per backend server
	Connections   int              `json:"connections"`    // limit of connections to each backend server
	Queue         int              `json:"queue"`          // limit of queued requests per backend server
	TailTarget    lwunit.Duration  `json:"tail_target"`    // target for the 99th percentile of the latency; a slower request counts as late
	Timeout       lwunit.Duration  `json:"timeout"`        // default and maximum deadline of a request
	RetryBudget   float64          `json:"retry_budget"`   // retries allowed per first attempt
	KeyRetention  lwunit.Duration  `json:"key_retention"`  // how long the claim of a non-idempotent request is kept, from the creation of its key
	Unrepeatable  bool             `json:"unrepeatable"`   // requests other than GET and HEAD are non-idempotent unless marked otherwise
	MaxConcurrent int              `json:"max_concurrent"` // limit of concurrent requests of the service per entry; 0 means none
	Reserve       lwunit.Resources `json:"reserve"`        // resources kept free on a worker for each backend server there
}

// Role determines what a token allows.
type Role string

// The roles. Each includes the permissions of those before it.
const (
	RoleCaller    Role = "caller"    // sends requests to services
	RoleSubmitter Role = "submitter" // submits and cancels jobs of its team
	RoleOperator  Role = "operator"  // is allowed everything
)

// Allows reports whether r includes the permissions of need.
func (r Role) Allows(need Role) bool { return rank(r) >= rank(need) }

// rank returns the position of a role in the order of permissions; an unknown role
// has rank 0.
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

// Token is the SHA-256 digest of a bearer token and the role that it grants.
type Token struct {
	Role   Role   `json:"role"`
	SHA256 string `json:"sha256"` // as the ticket gives it; compare Digest
}

// Digest returns SHA256 in lower case, as TokenDigest returns it.
func (t Token) Digest() string { return strings.ToLower(t.SHA256) }

// TokenDigest returns the SHA-256 digest of a bearer token in hexadecimal, as it
// appears in a team's spec.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TeamSpec is the spec of a team.
type TeamSpec struct {
	Quota         lwunit.Resources `json:"quota"`          // tasks of a team that uses more may be evicted for other teams
	Weight        int              `json:"weight"`         // relative share of the resources beyond the quotas
	MaxConcurrent int              `json:"max_concurrent"` // limit of concurrent requests of the team per entry; 0 means none
	Tokens        []Token          `json:"tokens"`
}

// DeploymentSpec is the spec of an organisation's deployment: how its scheduler
// weighs tail latency, throughput and evictions against each other, and how long
// the finished jobs of teams are kept.
type DeploymentSpec struct {
	TailWeight       float64         `json:"tail_weight"`
	ThroughputWeight float64         `json:"throughput_weight"`
	EvictionWeight   float64         `json:"eviction_weight"`
	EvictionBudget   int             `json:"eviction_budget"` // limit of evictions per hour because of interference
	JobRetention     lwunit.Duration `json:"job_retention"`   // how long a finished job is kept
}

func (ServiceSpec) spec()    {}
func (TeamSpec) spec()       {}
func (DeploymentSpec) spec() {}

// Object is a key and the complete spec of the object; a nil Spec removes it.
type Object struct {
	Key  Key
	Spec Spec
}

// Ticket is a change to one or more objects.
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

// Decode decodes and validates a ticket. Unknown fields are an error.
func Decode(data []byte) (Ticket, error) {
	if len(data) > MaxTicketBytes {
		return Ticket{}, lwfault.New(lwfault.TooLarge, "a ticket may have at most %d bytes; this one has %d", MaxTicketBytes, len(data))
	}
	var w wireTicket
	if err := decodeStrict(data, &w); err != nil {
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

// decodeStrict decodes exactly one JSON document without unknown fields into v.
func decodeStrict(data []byte, v any) error {
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
		return lwfault.New(lwfault.Invalid, "ticket: must have 1 to %d objects", maxObjects)
	}
	for i := 1; i < len(t.Objects); i++ {
		if t.Objects[i].Key == t.Objects[i-1].Key {
			return lwfault.New(lwfault.Invalid, "ticket: %s appears twice", t.Objects[i].Key)
		}
	}
	return nil
}

// CheckTokens returns an error if the ticket grants a token under two roles or to two
// teams: only one grant would count. It is for new tickets. Decode accepts such a ticket,
// because replicas must be able to apply one that an earlier version put into the log.
func (t Ticket) CheckTokens() error {
	type grant struct {
		team string
		role Role
	}
	grants := make(map[string]grant)
	for _, o := range t.Objects {
		spec, ok := o.Spec.(TeamSpec)
		if !ok {
			continue
		}
		for _, token := range spec.Tokens {
			next := grant{o.Key.Name, token.Role}
			if first, ok := grants[token.Digest()]; ok && first != next {
				return lwfault.New(lwfault.Invalid, "ticket: the token with sha256 %s is granted twice, as %s of team %s and as %s of team %s; grant it once",
					token.Digest(), first.role, first.team, next.role, next.team)
			}
			grants[token.Digest()] = next
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
		Timeout: defaultTimeout, RetryBudget: defaultRetryBudget, KeyRetention: defaultKeyRetention,
	}
	if w.Absent {
		return nil, nil
	}
	if err := decodeStrict(w.Spec, &s); err != nil {
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
		return nil, lwfault.New(lwfault.Invalid, "spec.tail_target and spec.timeout must be greater than 0")
	case s.RetryBudget < 0 || s.RetryBudget > 1:
		return nil, lwfault.New(lwfault.Invalid, "spec.retry_budget must be 0 to 1")
	case s.KeyRetention <= 0 || s.KeyRetention > maxKeyRetention:
		return nil, lwfault.New(lwfault.Invalid, "spec.key_retention must be greater than 0 and at most %s", maxKeyRetention)
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
	if err := decodeStrict(w.Spec, &s); err != nil {
		return nil, err
	}
	switch {
	case s.Quota.Negative() || s.MaxConcurrent < 0:
		return nil, lwfault.New(lwfault.Invalid, "spec.quota and spec.max_concurrent must not be negative")
	case s.Weight < 1:
		return nil, lwfault.New(lwfault.Invalid, "spec.weight must be at least 1")
	case len(s.Tokens) > maxTeamTokens:
		return nil, lwfault.New(lwfault.Invalid, "spec.tokens may have at most %d tokens", maxTeamTokens)
	}
	for _, token := range s.Tokens {
		if raw, err := hex.DecodeString(token.SHA256); err != nil || len(raw) != sha256.Size || rank(token.Role) == 0 {
			return nil, lwfault.New(lwfault.Invalid, "spec.tokens: each needs a role (caller, submitter, operator) and a sha256 of 64 hexadecimal digits")
		}
	}
	return s, nil
}

func decodeDeployment(w wireObject) (Spec, error) {
	s := DeploymentSpec{TailWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, EvictionBudget: 12, JobRetention: maxKeyRetention}
	if w.Absent {
		return nil, nil
	}
	if err := decodeStrict(w.Spec, &s); err != nil {
		return nil, err
	}
	if s.TailWeight < 0 || s.ThroughputWeight < 0 || s.EvictionWeight < 0 || s.EvictionBudget < 0 || s.JobRetention <= 0 {
		return nil, lwfault.New(lwfault.Invalid, "weights and eviction_budget must not be negative, job_retention must be greater than 0")
	}
	return s, nil
}

// Canonical returns the ticket as JSON, with objects sorted by key, fields in a
// fixed order and defaults filled in.
func (t Ticket) Canonical() ([]byte, error) {
	w := wireTicket{Number: t.Number, Author: t.Author, Comment: t.Comment}
	for _, o := range t.Objects {
		object, err := encodeObject(o)
		if err != nil {
			return nil, err
		}
		w.Objects = append(w.Objects, object)
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

// Digest returns the digest of the canonical form. Tickets with equal digests are
// the same ticket.
func (t Ticket) Digest() (Digest, error) {
	data, err := t.Canonical()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:])), nil
}

// MarshalJSON encodes the object as in a ticket.
func (o Object) MarshalJSON() ([]byte, error) {
	w, err := encodeObject(o)
	if err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes and validates the object as in a ticket.
func (o *Object) UnmarshalJSON(data []byte) error {
	var w wireObject
	if err := decodeStrict(data, &w); err != nil {
		return err
	}
	obj, err := decodeObject(w)
	if err != nil {
		return err
	}
	*o = obj
	return nil
}
