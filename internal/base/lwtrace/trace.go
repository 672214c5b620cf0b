// Package lwtrace makes a span for each hop of a request and each step of a
// command, and carries them between processes in the W3C traceparent header.
// Until a provider is installed, spans cost next to nothing.
package lwtrace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "lavenderweir"

var propagator = propagation.TraceContext{}

// Start begins a span inside the one of ctx.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// Continue begins a span inside the one that the headers name.
func Continue(ctx context.Context, h http.Header, name string) (context.Context, trace.Span) {
	return Start(propagator.Extract(ctx, propagation.HeaderCarrier(h)), name)
}

// Inject writes the span of ctx into the headers.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}
