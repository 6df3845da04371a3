package io.persimmonstack.runtime.trace;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import java.util.Map;
import java.util.TreeMap;

/**
 * Creates the spans of one program and propagates their context between processes in W3C Trace Context headers.
 *
 * <pre>{@code
 * Context parent = tracing.extract(headers);
 * Span span = tracing.start("dispatch", SpanKind.CLIENT, parent);
 * try {
 *     Map<String, String> carried = tracing.inject(parent.with(span));
 * } finally {
 *     span.end();
 * }
 * }</pre>
 */
public final class Tracing implements AutoCloseable {
    private static final TextMapGetter<Map<String, String>> GETTER = new MapGetter();
    private final SpanBuffer buffer;
    private final SdkTracerProvider provider;
    private final Tracer tracer;

    private Tracing(SpanBuffer buffer, SdkTracerProvider provider, Tracer tracer) {
        this.buffer = buffer;
        this.provider = provider;
        this.tracer = tracer;
    }

    /**
     * Creates the tracing of a program.
     *
     * @param program name of the program, recorded as the instrumentation scope of its spans
     * @return tracing with an empty span buffer
     */
    public static Tracing of(String program) {
        SpanBuffer buffer = SpanBuffer.create();
        SdkTracerProvider provider =
                SdkTracerProvider.builder().addSpanProcessor(buffer).build();
        return new Tracing(buffer, provider, provider.get(program));
    }

    /** Returns the buffer of the most recently ended spans. */
    public SpanBuffer buffer() {
        return buffer;
    }

    /**
     * Starts a span.
     *
     * @param name name of the operation
     * @param kind whether the span is a client, server or internal one
     * @param parent context with the parent span, if any
     * @return the started span, which the caller must end
     */
    public Span start(String name, SpanKind kind, Context parent) {
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /**
     * Extracts the context from the W3C Trace Context headers of a request.
     *
     * @param headers header values by lower-case name
     * @return the context, without a span where the headers contain none
     */
    public Context extract(Map<String, String> headers) {
        return W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
    }

    /**
     * Returns the W3C Trace Context headers that propagate a context.
     *
     * @param context context to propagate to the called process
     * @return header values by lower-case name
     */
    public Map<String, String> inject(Context context) {
        return headers(context);
    }

    /** Returns the W3C Trace Context headers of the current thread's context, by lower-case name. */
    public static Map<String, String> currentHeaders() {
        return headers(Context.current());
    }

    private static Map<String, String> headers(Context context) {
        Map<String, String> headers = new TreeMap<>();
        W3CTraceContextPropagator.getInstance().inject(context, headers, Map::put);
        return headers;
    }

    @Override
    public void close() {
        provider.close();
    }

    private static final class MapGetter implements TextMapGetter<Map<String, String>> {
        @Override
        public Iterable<String> keys(Map<String, String> carrier) {
            return carrier.keySet();
        }

        @Override
        public String get(Map<String, String> carrier, String key) {
            return carrier == null ? null : carrier.get(key);
        }
    }
}
