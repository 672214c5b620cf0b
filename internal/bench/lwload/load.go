// Package lwload measures the request path on loopback under an open-loop load:
// requests are sent when they are due, however slow earlier answers are, and
// latency is measured from the time at which a request was due.
package lwload

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

const (
	maxLatencyMicros  = 120 * 1_000_000
	significantDigits = 3
	bodyBytes         = 512
	idleConnsPerHost  = 512
	requestTimeout    = 15 * time.Second
	maxInFlight       = 4000 // a request that is due beyond that is not sent and counts as broken
)

// Plan describes the load of one run.
type Plan struct {
	URLs     []string // of the entries; the requests go to them in turn
	Path     string
	Token    string
	Rate     float64 // requests a second
	Duration time.Duration
	Deadline time.Duration // of each request; 0 sends none
	Seed     uint64
	Retries  int // how often a caller resends a failed request at once; for retry storms
}

// Outcome counts the requests by their outcome.
type Outcome struct {
	Sent      int // all that were due, each once however often it was resent
	Completed int // with the whole answer of the backend server, byte for byte
	NotRun    int
	Unknown   int
	Broken    int                     // not sent, no answer, or a wrong one
	Latencies *hdrhistogram.Histogram // of completed requests, in microseconds
	Duration  time.Duration           // of the plan
}

// Percentile returns the latency of completed requests at a percentile from 0 to
// 100.
func (o Outcome) Percentile(percent float64) time.Duration {
	return time.Duration(o.Latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Goodput returns completed requests a second, over the duration of the plan.
func (o Outcome) Goodput() float64 { return float64(o.Completed) / o.Duration.Seconds() }

type collector struct {
	mu      sync.Mutex
	outcome Outcome
}

// Run sends the plan's load and waits for the last answer. The end of ctx cancels
// requests in flight.
func Run(ctx context.Context, p Plan) Outcome {
	rng := rand.New(rand.NewPCG(p.Seed, 11))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, MaxIdleConns: 4 * idleConnsPerHost, DisableCompression: true}}
	defer client.CloseIdleConnections()
	c := &collector{outcome: Outcome{Latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}}
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second)))
		if due.Sub(began) > p.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		body := randomBody(rng)
		select {
		case inFlight <- struct{}{}:
		default:
			c.add(result{broken: true})
			continue
		}
		dueAt, url := due, p.URLs[n%len(p.URLs)]
		wg.Go(func() {
			defer func() { <-inFlight }()
			for try := 0; ; try++ {
				r := send(ctx, client, p, url, body, dueAt)
				if r.completed || try >= p.Retries {
					c.add(r)
					return
				}
			}
		})
	}
	wg.Wait()
	c.outcome.Duration = p.Duration
	return c.outcome
}

func randomBody(rng *rand.Rand) []byte {
	b := make([]byte, bodyBytes)
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return b
}

type result struct {
	completed, notRun, unknown, broken bool
	latency                            time.Duration
}

func send(ctx context.Context, client *http.Client, p Plan, url string, body []byte, due time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+p.Path, bytes.NewReader(body))
	if err != nil {
		return result{broken: true}
	}
	req.Header.Set("Authorization", "Bearer "+p.Token)
	if p.Deadline > 0 {
		req.Header.Set(lwheader.Deadline, p.Deadline.String())
	}
	res, err := client.Do(req)
	if err != nil {
		return result{broken: true}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		return result{broken: true}
	case res.StatusCode == http.StatusOK:
		return result{completed: bytes.Equal(data, lwstandin.Render(body)), broken: !bytes.Equal(data, lwstandin.Render(body)), latency: time.Since(due)}
	case res.Header.Get(lwheader.Outcome) == lwheader.NotRun:
		return result{notRun: true}
	case res.Header.Get(lwheader.Outcome) == lwheader.Unknown:
		return result{unknown: true}
	default:
		return result{broken: true}
	}
}

func (c *collector) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcome.Sent++
	switch {
	case r.completed:
		c.outcome.Completed++
		_ = c.outcome.Latencies.RecordValue(min(max(r.latency.Microseconds(), 1), maxLatencyMicros))
	case r.notRun:
		c.outcome.NotRun++
	case r.unknown:
		c.outcome.Unknown++
	default:
		c.outcome.Broken++
	}
}

// LogNormal returns a generator of log-normal service times with the given median;
// sigma is the standard deviation of their logarithm.
func LogNormal(median time.Duration, sigma float64, seed uint64) func() time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 13))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
	}
}

// IdealQueue simulates a single queue that all slots share, with Poisson arrivals
// and log-normal service times, and returns its latencies in microseconds. No
// routing policy can do better.
func IdealQueue(rate float64, slots int, median time.Duration, sigma float64, duration time.Duration, seed uint64) *hdrhistogram.Histogram {
	rng := rand.New(rand.NewPCG(seed, 11))
	h := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	freeAt := make([]float64, slots) // when each slot becomes free, seconds
	arrival := 0.0
	for arrival < duration.Seconds() {
		arrival += rng.ExpFloat64() / rate
		earliest := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[earliest] {
				earliest = i
			}
		}
		start := max(arrival, freeAt[earliest])
		freeAt[earliest] = start + median.Seconds()*math.Exp(sigma*rng.NormFloat64())
		_ = h.RecordValue(min(max(int64((freeAt[earliest]-arrival)*1e6), 1), maxLatencyMicros))
	}
	return h
}
