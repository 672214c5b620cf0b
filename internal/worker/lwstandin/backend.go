package lwstandin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

const (
	announceLease    = 5 * time.Second
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
)

// Behaviour determines how a stand-in backend server handles requests.
type Behaviour struct {
	Delay    func() time.Duration // service time of a request; nil is none
	Truncate bool                 // close the connection after half of the answer
	Status   int                  // of the answer; 0 is 200
	Hang     bool                 // never answer
	Slots    int                  // requests that spend their service time at once, while others wait in the server; 0 is no limit
}

// Backend is a stand-in backend server. It answers with Render of the request's
// body and counts the runs per idempotency key.
type Backend struct {
	ID      lwunit.BackendServerID
	Service lwunit.ServiceName

	server       *lwhttp.Server
	agentAddress string
	cancel       context.CancelFunc
	done         sync.WaitGroup
	closed       sync.Once

	mu        sync.Mutex
	behaviour Behaviour
	slots     chan struct{}
	runs      map[string]int
	inFlight  int
	peak      int
	total     int
}

// Render returns the answer of a stand-in backend server to a request body.
func Render(body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, "rendered %d bytes %s\n", len(body), hex.EncodeToString(sum[:]))
}

// StartBackend starts a backend server on loopback and keeps it announced to the
// agent at the given gate address until Withdraw or Kill. An empty address
// announces it nowhere.
func StartBackend(id lwunit.BackendServerID, service lwunit.ServiceName, agent string) (*Backend, error) {
	b := &Backend{ID: id, Service: service, agentAddress: agent, runs: make(map[string]int)}
	server, err := lwhttp.Listen(lwhttp.Config{Name: string(id), Address: "127.0.0.1:0", Handler: http.HandlerFunc(b.serve)})
	if err != nil {
		return nil, fmt.Errorf("start backend server %s: %w", id, err)
	}
	b.server = server
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	if agent != "" {
		b.done.Go(func() { b.announceLoop(ctx) })
	}
	return b, nil
}

// Address returns the address that the backend server listens on.
func (b *Backend) Address() string { return b.server.Address() }

// SetBehaviour changes the behaviour for new requests.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
	b.slots = nil
	if behaviour.Slots > 0 {
		b.slots = make(chan struct{}, behaviour.Slots)
	}
}

// Behaviour returns the current behaviour.
func (b *Backend) Behaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

// Runs returns how often a request with the idempotency key was run.
func (b *Backend) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// Total returns the number of requests run.
func (b *Backend) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Peak returns the highest number of requests in flight at one time.
func (b *Backend) Peak() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

func (b *Backend) beginRequest(key string) Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	if key != "" {
		b.runs[key]++
	}
	return b.behaviour
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		lwhttp.WriteProblem(w, err)
		return
	}
	behaviour := b.beginRequest(r.Header.Get(lwheader.IdempotencyKey))
	defer b.endRequest()
	if behaviour.Hang {
		<-r.Context().Done()
		return
	}
	b.spendServiceTime(behaviour)
	answer := Render(body)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if behaviour.Status != 0 {
		w.WriteHeader(behaviour.Status)
	}
	if behaviour.Truncate {
		_, _ = w.Write(answer[:len(answer)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		lwhttp.AbortConnection(w)
		return
	}
	_, _ = w.Write(answer)
}

// spendServiceTime sleeps for the service time, in a slot if slots are limited.
func (b *Backend) spendServiceTime(behaviour Behaviour) {
	if behaviour.Delay == nil {
		return
	}
	b.mu.Lock()
	slots := b.slots
	b.mu.Unlock()
	if slots != nil {
		slots <- struct{}{}
		defer func() { <-slots }()
	}
	time.Sleep(behaviour.Delay())
}

func (b *Backend) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = b.post(ctx, "/agent/v1/announce", map[string]string{
			"id": string(b.ID), "service": string(b.Service), "address": b.Address(), "lease": announceLease.String(),
		})
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (b *Backend) post(ctx context.Context, path string, doc map[string]string) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.agentAddress+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return lwhttp.ReadProblem(res)
	}
	return nil
}

// Withdraw withdraws the backend server at the agent, which answers when no
// request to it is in flight.
func (b *Backend) Withdraw(ctx context.Context) error {
	b.cancel()
	b.done.Wait()
	return b.post(ctx, "/agent/v1/withdraw", map[string]string{"id": string(b.ID)})
}

// Kill stops the backend server without withdrawing it.
func (b *Backend) Kill() {
	b.cancel()
	b.done.Wait()
	b.closed.Do(b.server.Close)
}
