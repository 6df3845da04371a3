package io.persimmonstack.runtime.trace;

import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Ring buffer of the most recently ended spans, served by {@code GET /traces/{id}} on the admin port. Thread-safe. */
public final class SpanBuffer implements SpanProcessor {
    private static final int MAX_SPANS = 2_048;
    private final AtomicReferenceArray<ReadableSpan> spans = new AtomicReferenceArray<>(MAX_SPANS);
    /** Number of spans ended so far; modulo the buffer size it is the next index to overwrite. */
    private final AtomicLong endedCount = new AtomicLong();

    private SpanBuffer() {}

    /** Returns an empty buffer. */
    static SpanBuffer create() {
        return new SpanBuffer();
    }

    /**
     * Returns the buffered spans of a trace in the order in which they ended.
     *
     * @param traceId trace id of 32 lower-case hexadecimal digits
     * @return the spans, empty where none of the trace is buffered
     */
    public List<SpanData> trace(String traceId) {
        List<SpanData> matching = new ArrayList<>();
        long end = endedCount.get();
        for (long number = Math.max(0, end - MAX_SPANS); number < end; number++) {
            ReadableSpan span = spans.get((int) (number % MAX_SPANS));
            if (span != null && span.getSpanContext().getTraceId().equals(traceId)) {
                matching.add(span.toSpanData());
            }
        }
        return matching;
    }

    @Override
    public void onStart(Context parent, ReadWriteSpan span) {}

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {
        spans.set((int) (endedCount.getAndIncrement() % MAX_SPANS), span);
    }

    @Override
    public boolean isEndRequired() {
        return true;
    }
}
