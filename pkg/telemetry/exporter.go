package telemetry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// shutdownTimeout bounds sending the last spans.
const shutdownTimeout = 2 * time.Second

// ErrExporter reports a trace exporter that cannot be set up.
var ErrExporter = eris.New("trace exporter cannot be set up")

// NewExporter returns the exporter of the given kind: "none" (nil), "stdout"
// or "otlp" (OTLP over HTTP to endpoint). commonFields become attributes of the trace
// resource. It returns ErrExporter, wrapped, for an unknown kind or an invalid endpoint.
func NewExporter(kind, endpoint string, output io.Writer, commonFields Fields) (SpanExporter, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch kind {
	case "none":
		return nil, nil
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(output))
	case "otlp":
		exporter, err = otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, eris.Wrap(ErrExporter, "unknown kind "+kind)
	}
	if err != nil {
		return nil, eris.Wrap(ErrExporter, err.Error())
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(newResource(commonFields)))
	return &otelExporter{provider: provider, tracer: provider.Tracer("sassafrasshunt")}, nil
}

// newResource returns the trace resource of this instance.
func newResource(commonFields Fields) *resource.Resource {
	attributes := []attribute.KeyValue{attribute.String("service.name", "sassafrasshunt")}
	for key, value := range commonFields {
		if s, ok := value.(string); ok {
			attributes = append(attributes, attribute.String(key, s))
		}
	}
	return resource.NewSchemaless(attributes...)
}

// otelExporter exports spans with the OpenTelemetry SDK.
type otelExporter struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Export implements SpanExporter.
func (e *otelExporter) Export(s Span) {
	ctx := context.Background()
	if s.Parent != "" {
		carrier := propagation.MapCarrier{"traceparent": strings.TrimSpace(s.Parent)}
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	_, span := e.tracer.Start(ctx, s.Name, trace.WithTimestamp(s.Start))
	for key, value := range s.Attributes {
		span.SetAttributes(attribute.String(key, value))
	}
	span.End(trace.WithTimestamp(s.End))
}

// Shutdown implements SpanExporter. It waits at most shutdownTimeout.
func (e *otelExporter) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// The process exits next; spans that are not sent in time are lost.
	_ = e.provider.Shutdown(ctx)
}
