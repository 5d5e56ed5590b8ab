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

// shutdownBound is how long the last spans may take to be sent.
const shutdownBound = 2 * time.Second

// ErrExporter reports a trace exporter that cannot be set up.
var ErrExporter = eris.New("trace exporter cannot be set up")

// NewExporter returns the exporter of the given kind: "none" (nil), "stdout"
// or "otlp" (OTLP over HTTP to endpoint). It returns ErrExporter, wrapped, for
// anything else or a bad endpoint.
func NewExporter(kind, endpoint string, output io.Writer, base Fields) (SpanExporter, error) {
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
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(describe(base)))
	return &otelExporter{provider: provider, tracer: provider.Tracer("sassafrasshunt")}, nil
}

func describe(base Fields) *resource.Resource {
	attributes := []attribute.KeyValue{attribute.String("service.name", "sassafrasshunt")}
	for key, value := range base {
		if s, ok := value.(string); ok {
			attributes = append(attributes, attribute.String(key, s))
		}
	}
	return resource.NewSchemaless(attributes...)
}

type otelExporter struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

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

func (e *otelExporter) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownBound)
	defer cancel()
	// The process ends next; spans that cannot be sent in time are lost.
	_ = e.provider.Shutdown(ctx)
}
