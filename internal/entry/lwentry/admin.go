package lwentry

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const adminTimeout = 10 * time.Second

func queryClaim(key lwstate.ClaimKey) lwlink.Query {
	return lwlink.Query{Kind: lwlink.QueryClaim, Claim: &key}
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { lwhttp.WriteJSON(w, http.StatusOK, probe{"ok", ""}) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /debug/vars", e.operator(func(w http.ResponseWriter, r *http.Request, _ grant) { expvar.Handler().ServeHTTP(w, r) }))
	mux.HandleFunc(servicePrefix+"{service}/", e.serveService)
	mux.HandleFunc("POST /v1/tickets", e.operator(e.postTicket))
	mux.HandleFunc("GET /v1/tickets", e.operator(e.getTickets))
	mux.HandleFunc("GET /v1/tickets/{number}", e.operator(e.getTicket))
	mux.HandleFunc("POST /v1/jobs", e.guard(lwticket.RoleSubmitter, e.postJob))
	mux.HandleFunc("GET /v1/jobs", e.guard(lwticket.RoleSubmitter, e.getJobs))
	mux.HandleFunc("GET /v1/jobs/{job}", e.guard(lwticket.RoleSubmitter, e.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{job}", e.guard(lwticket.RoleSubmitter, e.deleteJob))
	mux.HandleFunc("GET /v1/tasks", e.guard(lwticket.RoleSubmitter, e.getTasks))
	mux.HandleFunc("GET /v1/workers", e.operator(e.getWorkers))
	mux.HandleFunc("POST /v1/workers/{worker}/drain", e.operator(e.drain(true)))
	mux.HandleFunc("POST /v1/workers/{worker}/undrain", e.operator(e.drain(false)))
	mux.HandleFunc("GET /v1/backend_servers", e.operator(e.getBackends))
	mux.HandleFunc("GET /v1/services", e.guard(lwticket.RoleCaller, e.getObjects(lwticket.KindService)))
	mux.HandleFunc("GET /v1/teams", e.operator(e.getObjects(lwticket.KindTeam)))
	mux.HandleFunc("GET /v1/deployments", e.operator(e.getObjects(lwticket.KindDeployment)))
	mux.HandleFunc("GET /v1/status", e.operator(e.getStatus))
	mux.HandleFunc("POST /v1/control/replace", e.operator(e.postReplace))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		answerFault(w, lwfault.New(lwfault.NotFound, "%s %s does not exist", r.Method, r.URL.Path))
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

// authenticate returns what the request's token allows. Tokens are looked up
// by digest, so the time of the look-up tells nothing of a token.
func (e *Entry) authenticate(p *policy, r *http.Request, need lwticket.Role) (grant, error) {
	token := lwhttp.BearerToken(r)
	if token == "" {
		return grant{}, lwfault.New(lwfault.Unauthorized, "a bearer token is required")
	}
	digest := lwticket.TokenDigest(token)
	g, ok := p.tokens[digest]
	if !ok && e.cfg.OperatorSHA256 != "" && lwhttp.SameToken(digest, e.cfg.OperatorSHA256) {
		g, ok = grant{role: lwticket.RoleOperator}, true
	}
	switch {
	case !ok:
		return g, lwfault.New(lwfault.Unauthorized, "the token is not known")
	case !g.role.Allows(need):
		return g, lwfault.New(lwfault.Forbidden, "this needs the role %s; the token has %s", need, g.role)
	default:
		return g, nil
	}
}

type adminHandler func(w http.ResponseWriter, r *http.Request, g grant)

func (e *Entry) guard(need lwticket.Role, next adminHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g, err := e.authenticate(e.policy.Load(), r, need)
		if err != nil {
			answerFault(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		next(w, r.WithContext(ctx), g)
	}
}

func (e *Entry) operator(next adminHandler) http.HandlerFunc {
	return e.guard(lwticket.RoleOperator, next)
}

// scope returns the team that limits what a token sees; operators see all.
func (g grant) scope() lwunit.TeamName {
	if g.role == lwticket.RoleOperator {
		return ""
	}
	return g.team
}

// finish answers an administration request. A command whose answer was lost
// has an unknown outcome; everything else was settled.
func finish(w http.ResponseWriter, status int, v any, err error) {
	if err == nil {
		w.Header().Set(lwheader.Outcome, lwheader.Completed)
		lwhttp.WriteJSON(w, status, v)
		return
	}
	certain := lwfault.KindOf(err) != lwfault.Unavailable && lwfault.KindOf(err) != lwfault.Timeout
	outcomeFault(w, err, certain)
}

func (e *Entry) postTicket(w http.ResponseWriter, r *http.Request, _ grant) {
	data, err := io.ReadAll(io.LimitReader(r.Body, lwticket.MaxTicketBytes+1))
	if err != nil {
		answerFault(w, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request body", Cause: err})
		return
	}
	t, err := lwticket.Decode(data)
	if err != nil {
		answerFault(w, err)
		return
	}
	canonical, err := t.Canonical()
	if err != nil {
		answerFault(w, err)
		return
	}
	out, err := e.client.Propose(r.Context(), lwstate.ApplyTicket{Ticket: canonical})
	finish(w, http.StatusOK, out.Ticket, err)
}

func (e *Entry) getTickets(w http.ResponseWriter, r *http.Request, _ grant) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTickets, Limit: limit})
	finish(w, http.StatusOK, res.Tickets, err)
}

// ticketStatus says where a ticket is in force.
type ticketStatus struct {
	Ticket  lwstate.TicketRecord `json:"ticket"`
	InForce int                  `json:"in_force"` // processes that applied it
	Nodes   int                  `json:"nodes"`
	Lagging []lwlink.NodeStatus  `json:"lagging,omitempty"`
}

func (e *Entry) getTicket(w http.ResponseWriter, r *http.Request, _ grant) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		answerFault(w, lwfault.New(lwfault.Invalid, "the ticket number must be a number"))
		return
	}
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTicket, Ticket: lwticket.Number(n)})
	if err != nil {
		finish(w, http.StatusOK, nil, err)
		return
	}
	st := ticketStatus{Ticket: res.Tickets[0], Nodes: len(res.Nodes)}
	for _, node := range res.Nodes {
		if node.Applied >= st.Ticket.Revision {
			st.InForce++
		} else {
			st.Lagging = append(st.Lagging, node)
		}
	}
	finish(w, http.StatusOK, st, nil)
}

func (e *Entry) postJob(w http.ResponseWriter, r *http.Request, g grant) {
	var spec lwstate.JobSpec
	if err := lwhttp.ReadJSON(r, &spec); err != nil {
		answerFault(w, err)
		return
	}
	if spec.Team == "" {
		spec.Team = g.team
	}
	if g.scope() != "" && spec.Team != g.team {
		answerFault(w, lwfault.New(lwfault.Forbidden, "the token belongs to team %s", g.team))
		return
	}
	if _, err := spec.Check(); err != nil {
		answerFault(w, err)
		return
	}
	out, err := e.client.Propose(r.Context(), lwstate.SubmitJob{Spec: spec})
	finish(w, http.StatusOK, out.Job, err)
}

func (e *Entry) getJobs(w http.ResponseWriter, r *http.Request, g grant) {
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryJobs, Team: g.scope()})
	finish(w, http.StatusOK, res.Jobs, err)
}

// jobDetail is a job with its tasks.
type jobDetail struct {
	Job   lwstate.Job    `json:"job"`
	Tasks []lwstate.Task `json:"tasks"`
}

func (e *Entry) getJob(w http.ResponseWriter, r *http.Request, g grant) {
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryJob, Job: lwunit.JobID(r.PathValue("job")), Team: g.scope()})
	if err != nil {
		finish(w, http.StatusOK, nil, err)
		return
	}
	finish(w, http.StatusOK, jobDetail{res.Jobs[0], res.Tasks}, nil)
}

func (e *Entry) deleteJob(w http.ResponseWriter, r *http.Request, g grant) {
	out, err := e.client.Propose(r.Context(), lwstate.CancelJob{Job: lwunit.JobID(r.PathValue("job")), Team: g.scope()})
	finish(w, http.StatusOK, out.Job, err)
}

func (e *Entry) getTasks(w http.ResponseWriter, r *http.Request, g grant) {
	job := r.URL.Query().Get("job")
	if job == "" {
		answerFault(w, lwfault.New(lwfault.Invalid, "the query parameter job is required"))
		return
	}
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryTasks, Job: lwunit.JobID(job), Team: g.scope()})
	finish(w, http.StatusOK, res.Tasks, err)
}

func (e *Entry) getWorkers(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryWorkers})
	finish(w, http.StatusOK, res.Workers, err)
}

func (e *Entry) getBackends(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryBackends})
	finish(w, http.StatusOK, res.Backends, err)
}

func (e *Entry) drain(on bool) adminHandler {
	return func(w http.ResponseWriter, r *http.Request, _ grant) {
		_, err := e.client.Propose(r.Context(), lwstate.DrainWorker{Worker: lwunit.WorkerID(r.PathValue("worker")), Drain: on})
		finish(w, http.StatusOK, struct{}{}, err)
	}
}

// getObjects lists the objects of a kind; token digests are left out.
func (e *Entry) getObjects(kind lwticket.Kind) adminHandler {
	return func(w http.ResponseWriter, r *http.Request, _ grant) {
		res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryObjects})
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
		finish(w, http.StatusOK, list, err)
	}
}

// replaceRequest names a voter's address and the learner's to follow it.
type replaceRequest struct {
	Old string `json:"old"`
	New string `json:"new"`
}

func (e *Entry) postReplace(w http.ResponseWriter, r *http.Request, _ grant) {
	var p replaceRequest
	if err := lwhttp.ReadJSON(r, &p); err != nil {
		answerFault(w, err)
		return
	}
	finish(w, http.StatusOK, struct{}{}, e.client.Replace(r.Context(), p.Old, p.New))
}

// systemStatus is the state of the whole system for operators.
type systemStatus struct {
	Revision lwunit.Revision        `json:"revision"`
	Replicas []lwlink.ReplicaStatus `json:"replicas"`
	Nodes    []lwlink.NodeStatus    `json:"nodes"`
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request, _ grant) {
	res, err := e.client.Query(r.Context(), lwlink.Query{Kind: lwlink.QueryStatus})
	finish(w, http.StatusOK, systemStatus{res.Revision, res.Replicas, res.Nodes}, err)
}
