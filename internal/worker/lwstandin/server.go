package lwstandin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwplatform"
)

// Handler returns a handler that serves the platform's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(lwplatform.PathList, w.serveList)
	handle(mux, lwplatform.PathUsage, func(ctx context.Context, _ struct{}) (any, error) { return w.Usage(ctx) })
	handle(mux, lwplatform.PathStart, func(ctx context.Context, r lwplatform.StartRequest) (any, error) {
		return struct{}{}, w.Start(ctx, r)
	})
	handle(mux, lwplatform.PathRenew, func(ctx context.Context, r lwplatform.RenewRequest) (any, error) {
		return struct{}{}, w.Renew(ctx, r.Lease, r.Attempts)
	})
	handle(mux, lwplatform.PathCheckpoint, func(ctx context.Context, a lwplatform.Attempt) (any, error) {
		name, err := w.Checkpoint(ctx, a)
		return lwplatform.CheckpointReply{Checkpoint: name}, err
	})
	handle(mux, lwplatform.PathThrottle, func(ctx context.Context, r lwplatform.ThrottleRequest) (any, error) {
		return struct{}{}, w.Throttle(ctx, r.Attempt, r.Percent)
	})
	handle(mux, lwplatform.PathStop, func(ctx context.Context, a lwplatform.Attempt) (any, error) {
		return struct{}{}, w.Stop(ctx, a)
	})
	handle(mux, lwplatform.PathForget, func(ctx context.Context, a lwplatform.Attempt) (any, error) {
		return struct{}{}, w.Forget(ctx, a)
	})
	return mux
}

func (w *Worker) serveList(rw http.ResponseWriter, r *http.Request) {
	l, err := w.List(r.Context())
	if err != nil {
		lwhttp.WriteProblem(rw, err)
		return
	}
	rw.Header().Set(lwplatform.ClockHeader, strconv.FormatInt(int64(l.Clock), 10))
	rw.Header().Set(lwplatform.ClockIDHeader, string(l.ClockID))
	lwhttp.WriteJSON(rw, http.StatusOK, l.Attempts)
}

func handle[In any](mux *http.ServeMux, path string, f func(context.Context, In) (any, error)) {
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := lwhttp.ReadJSON(r, &in); err != nil {
			lwhttp.WriteProblem(w, err)
			return
		}
		out, err := f(r.Context(), in)
		if err != nil {
			lwhttp.WriteProblem(w, fmt.Errorf("%s: %w", path, lwfault.As(err)))
			return
		}
		lwhttp.WriteJSON(w, http.StatusOK, out)
	})
}
