// Package lwload drives the real request path on loopback with an open-loop
// load: requests are sent when they are due, however slow earlier answers are,
// and latency counts from when a request was due.
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
	highestMicros = 120 * 1_000_000
	digits        = 3
	bodyBytes     = 512
	idleConns     = 512
	giveUp        = 15 * time.Second
	maxOpen       = 4000 // requests in flight; one due beyond that counts as an error
)

// Plan is one run of load.
type Plan struct {
	URLs     []string // entries; requests take turns
	Path     string
	Token    string
	Rate     float64 // requests a second
	Duration time.Duration
	Deadline time.Duration
	Seed     uint64
	Retry    int // times a caller resends at once what failed; for retry storms
}

// Outcome counts what became of the requests.
type Outcome struct {
	Sent      int
	Completed int // whole answer of the backend server, byte for byte
	NotRun    int
	Unknown   int
	Broken    int // no answer, or a wrong one
	Hist      *hdrhistogram.Histogram
	Elapsed   time.Duration
}

// Quantile returns a latency of completed requests.
func (o Outcome) Quantile(q float64) time.Duration {
	return time.Duration(o.Hist.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns completed requests a second.
func (o Outcome) Goodput() float64 { return float64(o.Completed) / o.Elapsed.Seconds() }

type collector struct {
	mu sync.Mutex
	o  Outcome
}

// Run sends the plan's load and waits for the last answer.
func Run(ctx context.Context, p Plan) Outcome {
	rng := rand.New(rand.NewPCG(p.Seed, 11))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: 4 * idleConns, DisableCompression: true}}
	defer client.CloseIdleConnections()
	c := &collector{o: Outcome{Hist: hdrhistogram.New(1, highestMicros, digits)}}
	open := make(chan struct{}, maxOpen)
	var wg sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second)))
		if due.Sub(began) > p.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		body := body(rng)
		select {
		case open <- struct{}{}:
		default:
			c.add(result{broken: true})
			continue
		}
		at, url := due, p.URLs[n%len(p.URLs)]
		wg.Go(func() {
			defer func() { <-open }()
			for try := 0; ; try++ {
				r := send(ctx, client, p, url, body, at)
				if r.completed || try >= p.Retry {
					c.add(r)
					return
				}
			}
		})
	}
	wg.Wait()
	c.o.Elapsed = p.Duration
	return c.o
}

func body(rng *rand.Rand) []byte {
	b := make([]byte, bodyBytes)
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return b
}

type result struct {
	completed, notRun, unknown, broken bool
	took                               time.Duration
}

func send(ctx context.Context, client *http.Client, p Plan, url string, body []byte, due time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
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
		return result{completed: bytes.Equal(data, lwstandin.Render(body)), broken: !bytes.Equal(data, lwstandin.Render(body)), took: time.Since(due)}
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
	c.o.Sent++
	switch {
	case r.completed:
		c.o.Completed++
		_ = c.o.Hist.RecordValue(min(max(r.took.Microseconds(), 1), highestMicros))
	case r.notRun:
		c.o.NotRun++
	case r.unknown:
		c.o.Unknown++
	default:
		c.o.Broken++
	}
}

// LogNormal returns a source of service times with the given median and sigma.
func LogNormal(median time.Duration, sigma float64, seed uint64) func() time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 13))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
	}
}

// IdealQueue returns latencies of a single queue that all slots share, for
// Poisson arrivals and log-normal service: what no router can beat.
func IdealQueue(rate float64, slots int, median time.Duration, sigma float64, duration time.Duration, seed uint64) *hdrhistogram.Histogram {
	rng := rand.New(rand.NewPCG(seed, 11))
	h := hdrhistogram.New(1, highestMicros, digits)
	free := make([]float64, slots) // when each slot is free, seconds
	at := 0.0
	for at < duration.Seconds() {
		at += rng.ExpFloat64() / rate
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		start := max(at, free[first])
		free[first] = start + median.Seconds()*math.Exp(sigma*rng.NormFloat64())
		_ = h.RecordValue(min(max(int64((free[first]-at)*1e6), 1), highestMicros))
	}
	return h
}
