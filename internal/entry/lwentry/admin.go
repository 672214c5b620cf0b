package lwentry

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const adminTimeout = 10 * time.Second // limit for one administration request

func claimQuery(key lwstate.ClaimKey) lwlink.Query {
	return lwlink.Query{Kind: lwlink.QueryClaim, Claim: &key}
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { lwhttp.WriteJSON(w, http.StatusOK, probe{"ok", ""}) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /debug/vars", e.requireOperator(func(w http.ResponseWriter, r *http.Request, _ grant) { expvar.Handler().ServeHTTP(w, r) }))
	mux.HandleFunc(servicePrefix+"{service}/", e.serveService)
	mux.HandleFunc("POST /v1/tickets", e.requireOperator(e.postTicket))
	mux.HandleFunc("GET /v1/tickets", e.requireOperator(e.getTickets))
	mux.HandleFunc("GET /v1/tickets/{number}", e.requireOperator(e.getTicket))
	mux.HandleFunc("POST /v1/jobs", e.requireRole(lwticket.RoleSubmitter, e.postJob))
	mux.HandleFunc("GET /v1/jobs", e.requireRole(lwticket.RoleSubmitter, e.getJobs))
	mux.HandleFunc("GET /v1/jobs/{job}", e.requireRole(lwticket.RoleSubmitter, e.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{job}", e.requireRole(lwticket.RoleSubmitter, e.deleteJob))
	mux.HandleFunc("GET /v1/tasks", e.requireRole(lwticket.RoleSubmitter, e.getTasks))
	mux.HandleFunc("GET /v1/workers", e.requireOperator(e.getWorkers))
	mux.HandleFunc("POST /v1/workers/{worker}/drain", e.requireOperator(e.setDrain(true)))
	mux.HandleFunc("POST /v1/workers/{worker}/undrain", e.requireOperator(e.setDrain(false)))
	mux.HandleFunc("GET /v1/domains", e.requireOperator(e.getDomains))
	mux.HandleFunc("POST /v1/domains/{domain}/evacuate", e.requireOperator(e.setEvacuation(true)))
	mux.HandleFunc("POST /v1/domains/{domain}/restore", e.requireOperator(e.setEvacuation(false)))
	mux.HandleFunc("GET /v1/backend_servers", e.requireOperator(e.getBackends))
	mux.HandleFunc("GET /v1/services", e.requireRole(lwticket.RoleCaller, e.getObjects(lwticket.KindService)))
	mux.HandleFunc("GET /v1/teams", e.requireOperator(e.getObjects(lwticket.KindTeam)))
	mux.HandleFunc("GET /v1/deployments", e.requireOperator(e.getObjects(lwticket.KindDeployment)))
	mux.HandleFunc("GET /v1/status", e.requireOperator(e.getStatus))
	mux.HandleFunc("POST /v1/control/replace", e.requireOperator(e.postReplace))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, lwfault.New(lwfault.NotFound, "%s %s does not exist", r.Method, r.URL.Path))
	})
	return mux
}

type probe struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.Ready(); err != nil {
		lwhttp.WriteJSON(w, http.StatusServiceUnavailable, probe{"not_ready", err.Error()})
		return
	}
	lwhttp.WriteJSON(w, http.StatusOK, probe{"ok", ""})
}

// authenticate returns the grant of the request's token, which must include the
// required role. Tokens are looked up by digest, so that the duration of the
// lookup reveals nothing about a token.
func (e *Entry) authenticate(p *policy, r *http.Request, required lwticket.Role) (grant, error) {
	token := lwhttp.BearerToken(r)
	if token == "" {
		return grant{}, lwfault.New(lwfault.Unauthorized, "a bearer token is required")
	}
	digest := lwticket.TokenDigest(token)
	g, ok := p.grants[digest]
	if !ok && e.cfg.OperatorTokenSHA256 != "" && lwhttp.EqualTokens(digest, strings.ToLower(e.cfg.OperatorTokenSHA256)) {
		g, ok = grant{role: lwticket.RoleOperator}, true
	}
	switch {
	case !ok && p.confirmedAt.IsZero():
		return g, errNoPolicy()
	case !ok:
		return g, lwfault.New(lwfault.Unauthorized, "the token is not known")
	case !g.role.Allows(required):
		return g, lwfault.New(lwfault.Forbidden, "the role %s is required; the token has the role %s", required, g.role)
	default:
		return g, nil
	}
}

type adminHandler func(w http.ResponseWriter, r *http.Request, g grant)

// requireRole wraps a handler with authentication and the time limit of
// administration requests.
func (e *Entry) requireRole(required lwticket.Role, next adminHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g, err := e.authenticate(e.policy.Load(), r, required)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		next(w, r.WithContext(ctx), g)
	}
}

func (e *Entry) requireOperator(next adminHandler) http.HandlerFunc {
	return e.requireRole(lwticket.RoleOperator, next)
}

// visibleTeam returns the only team whose jobs and tasks the token may see and
// change, or "" for an operator, who may see and change all.
func (g grant) visibleTeam() lwunit.TeamName {
	if g.role == lwticket.RoleOperator {
		return ""
	}
	return g.team
}

// writeResult answers an administration request. After an error of kind
// Unavailable, Timeout or Unknown a command may have been committed although its
// answer was lost, so the outcome is unknown; any other error counts as proof that it
// had no effect.
func writeResult(w http.ResponseWriter, status int, v any, err error) {
	if err == nil {
		w.Header().Set(lwheader.Outcome, lwheader.Completed)
		lwhttp.WriteJSON(w, status, v)
		return
	}
	switch lwfault.KindOf(err) {
	case lwfault.Unavailable, lwfault.Timeout, lwfault.Unknown:
		writeFault(w, err, false)
	default:
		writeFault(w, err, true)
	}
}

func (e *Entry) postTicket(w http.ResponseWriter, r *http.Request, _ grant) {
	data, err := io.ReadAll(io.LimitReader(r.Body, lwticket.MaxTicketBytes+1))
	if err != nil {
		writeRefusal(w, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "cannot read the request body", Cause: err})
		return
	}
	t, err := lwticket.Decode(data)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if err := e.checkTokens(r.Context(), t); err != nil {
		writeResult(w, http.StatusOK, nil, err)
		return
	}
	canonical, err := t.Canonical()
	if err != nil {
		writeRefusal(w, err)
		return
	}
	out, err := e.control.Propose(r.Context(), lwstate.ApplyTicket{Ticket: canonical})
	writeResult(w, http.StatusOK, out.Ticket, err)
}

// checkTokens checks the tokens of a ticket unless its number is recorded: a ticket that
// an earlier version accepted gets its first answer again.
func (e *Entry) checkTokens(ctx context.Context, t lwticket.Ticket) error {
	refused := t.CheckTokens()
	if refused == nil {
		return nil
	}
	_, err := e.control.Query(ctx, lwlink.Query{Kind: lwlink.QueryTicket, Ticket: t.Number})
	if lwfault.KindOf(err) == lwfault.NotFound {
		return refused
	}
	return err
}

func (e *Entry) getTickets(w http.ResponseWriter, r *http.Request, _ grant) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTickets, Limit: limit})
	writeResult(w, http.StatusOK, res.Tickets, err)
}

// ticketStatus is a ticket with the number of processes that have applied it and
// those that have not.
type ticketStatus struct {
	Ticket  lwstate.TicketRecord `json:"ticket"`
	InForce int                  `json:"in_force"`          // processes that applied it
	Nodes   int                  `json:"nodes"`             // processes that report to control
	Lagging []lwlink.NodeStatus  `json:"lagging,omitempty"` // processes that have not applied it
}

func (e *Entry) getTicket(w http.ResponseWriter, r *http.Request, _ grant) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeRefusal(w, lwfault.New(lwfault.Invalid, "the ticket number must be a non-negative integer"))
		return
	}
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTicket, Ticket: lwticket.Number(n)})
	if err != nil {
		writeResult(w, http.StatusOK, nil, err)
		return
	}
	status := ticketStatus{Ticket: res.Tickets[0], Nodes: len(res.Nodes)}
	for _, node := range res.Nodes {
		if node.Applied >= status.Ticket.Revision {
			status.InForce++
		} else {
			status.Lagging = append(status.Lagging, node)
		}
	}
	writeResult(w, http.StatusOK, status, nil)
}

func (e *Entry) postJob(w http.ResponseWriter, r *http.Request, g grant) {
	var spec lwstate.JobSpec
	if err := lwhttp.ReadJSON(r, &spec); err != nil {
		writeRefusal(w, err)
		return
	}
	if spec.Team == "" {
		spec.Team = g.team
	}
	if g.visibleTeam() != "" && spec.Team != g.team {
		writeRefusal(w, lwfault.New(lwfault.Forbidden, "the token may only submit jobs of team %s", g.team))
		return
	}
	if _, err := spec.Check(); err != nil {
		writeRefusal(w, err)
		return
	}
	out, err := e.control.Propose(r.Context(), lwstate.SubmitJob{Spec: spec})
	writeResult(w, http.StatusOK, out.Job, err)
}

func (e *Entry) getJobs(w http.ResponseWriter, r *http.Request, g grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryJobs, Team: g.visibleTeam()})
	writeResult(w, http.StatusOK, res.Jobs, err)
}

// jobDetail is a job with its tasks.
type jobDetail struct {
	Job   lwstate.Job    `json:"job"`
	Tasks []lwstate.Task `json:"tasks"`
}

func (e *Entry) getJob(w http.ResponseWriter, r *http.Request, g grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryJob, Job: lwunit.JobID(r.PathValue("job")), Team: g.visibleTeam()})
	if err != nil {
		writeResult(w, http.StatusOK, nil, err)
		return
	}
	writeResult(w, http.StatusOK, jobDetail{res.Jobs[0], res.Tasks}, nil)
}

func (e *Entry) deleteJob(w http.ResponseWriter, r *http.Request, g grant) {
	out, err := e.control.Propose(r.Context(), lwstate.CancelJob{Job: lwunit.JobID(r.PathValue("job")), Team: g.visibleTeam()})
	writeResult(w, http.StatusOK, out.Job, err)
}

func (e *Entry) getTasks(w http.ResponseWriter, r *http.Request, g grant) {
	job := r.URL.Query().Get("job")
	if job == "" {
		writeRefusal(w, lwfault.New(lwfault.Invalid, "the query parameter job is required"))
		return
	}
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTasks, Job: lwunit.JobID(job), Team: g.visibleTeam()})
	writeResult(w, http.StatusOK, res.Tasks, err)
}

func (e *Entry) getWorkers(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryWorkers})
	writeResult(w, http.StatusOK, res.Workers, err)
}

func (e *Entry) getBackends(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryBackends})
	writeResult(w, http.StatusOK, res.Backends, err)
}

func (e *Entry) setDrain(on bool) adminHandler {
	return func(w http.ResponseWriter, r *http.Request, _ grant) {
		_, err := e.control.Propose(r.Context(), lwstate.DrainWorker{Worker: lwunit.WorkerID(r.PathValue("worker")), Drain: on})
		writeResult(w, http.StatusOK, struct{}{}, err)
	}
}

func (e *Entry) getDomains(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryDomains})
	writeResult(w, http.StatusOK, res.Domains, err)
}

// setEvacuation evacuates or restores a failure domain.
func (e *Entry) setEvacuation(evacuate bool) adminHandler {
	return func(w http.ResponseWriter, r *http.Request, g grant) {
		by := "operator token of " + e.cfg.Name
		if g.team != "" {
			by = "team " + string(g.team) + " through " + e.cfg.Name
		}
		rec, err := e.control.SetEvacuation(r.Context(), lwunit.FailureDomain(r.PathValue("domain")), evacuate, by)
		writeResult(w, http.StatusOK, rec, overtakenFault(err))
	}
}

// overtakenFault turns the refusal of an order that another one has overtaken into one of
// kind Unavailable: the operator may send the order again if it is still wanted. An earlier
// attempt to deliver it may have taken effect before the other order did.
func overtakenFault(err error) error {
	if lwfault.KindOf(err) != lwfault.Conflict {
		return err
	}
	return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "another order for the domain came first", RetryAfter: time.Second, Cause: err}
}

// getObjects lists the objects of a kind, teams without their token digests.
func (e *Entry) getObjects(kind lwticket.Kind) adminHandler {
	return func(w http.ResponseWriter, r *http.Request, _ grant) {
		res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryObjects})
		var list []lwstate.ObjectRecord
		for _, o := range res.Objects {
			if o.Object.Key.Kind != kind || o.Object.Spec == nil {
				continue
			}
			if team, ok := o.Object.Spec.(lwticket.TeamSpec); ok {
				team.Tokens = nil
				o.Object.Spec = team
			}
			list = append(list, o)
		}
		writeResult(w, http.StatusOK, list, err)
	}
}

// replaceRequest names the RPC addresses of a voter and of the learner that
// replaces it.
type replaceRequest struct {
	Old string `json:"old"`
	New string `json:"new"`
}

func (e *Entry) postReplace(w http.ResponseWriter, r *http.Request, _ grant) {
	var replace replaceRequest
	if err := lwhttp.ReadJSON(r, &replace); err != nil {
		writeRefusal(w, err)
		return
	}
	writeResult(w, http.StatusOK, struct{}{}, e.control.Replace(r.Context(), replace.Old, replace.New))
}

// systemStatus is the state of the whole system for operators.
type systemStatus struct {
	Revision lwunit.Revision        `json:"revision"`
	Replicas []lwlink.ReplicaStatus `json:"replicas"`
	Nodes    []lwlink.NodeStatus    `json:"nodes"`
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.control.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryStatus})
	writeResult(w, http.StatusOK, systemStatus{res.Revision, res.Replicas, res.Nodes}, err)
}
