// Package lwunit holds the named types for identifiers and quantities that
// every other package shares. They exist so that a worker name cannot be
// passed where a team is expected, and so that no quantity travels without
// its unit.
package lwunit

// Region names a group of failure domains that share a site.
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

// JobID names a batch or latency-critical job; the submitter chooses it, so
// that a resend is recognised.
type JobID string

// TaskID names one task of a job.
type TaskID string

// BackendServerID names one backend server as it announced itself.
type BackendServerID string

// ReplicaID names one control replica. It is drawn at random when a data
// folder is formatted, so a replica that lost its disk never reuses it.
type ReplicaID string

// Incarnation names one run of a process. It is drawn at random at start.
type Incarnation string

// Revision numbers the states of the replicated state machine; it is the
// index of the last log entry that was applied.
type Revision uint64

// FencingToken orders the attempts of a task. A worker refuses a token lower
// than one it has seen for the same task.
type FencingToken uint64
