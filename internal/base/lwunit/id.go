// Package lwunit declares the types of identifiers and quantities that the
// other packages share. Distinct types keep a worker name from being passed as
// a team name, and give every quantity its unit.
package lwunit

// Region names a group of failure domains at one site.
type Region string

// FailureDomain names a set of VMs that can fail together.
type FailureDomain string

// Rack names a set of VMs behind one switch inside a failure domain.
type Rack string

// WorkerID names one worker.
type WorkerID string

// TeamName names a team that owns jobs and services.
type TeamName string

// ServiceName names a latency-critical service.
type ServiceName string

// JobID names a batch or latency-critical job. The submitter chooses it, so
// that a resent submission is recognised as a duplicate.
type JobID string

// TaskID names one task of a job.
type TaskID string

// BackendServerID names one backend server. The backend server chooses it and
// sends it when it announces itself to its agent.
type BackendServerID string

// ReplicaID names one control replica. It is generated at random when a data
// folder is formatted, so a replica that lost its disk never reuses it.
type ReplicaID string

// Incarnation tells successive starts of an agent apart. It is generated at
// random when the agent starts.
type Incarnation string

// Revision identifies a state of the replicated state machine by the index of
// the last log entry applied.
type Revision uint64

// FencingToken orders the attempts of a task and the bindings of a claim. The
// platform of a worker refuses to start an attempt whose token is lower than
// one it has already received for the same task.
type FencingToken uint64
