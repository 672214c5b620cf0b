// Package lwtrace starts OpenTelemetry spans and propagates their context
// between processes in the W3C traceparent header. Spans are no-ops until a
// tracer provider is installed.
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

// Start starts a span as a child of the span in ctx, if any.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// Continue starts a span as a child of the remote span that the headers
// identify.
func Continue(ctx context.Context, h http.Header, name string) (context.Context, trace.Span) {
	return Start(propagator.Extract(ctx, propagation.HeaderCarrier(h)), name)
}

// Inject adds the identity of the span in ctx to the headers.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}
