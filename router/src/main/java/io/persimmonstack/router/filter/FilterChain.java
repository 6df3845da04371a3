package io.persimmonstack.router.filter;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.runtime.trace.Tracing;
import java.util.List;
import java.util.Optional;

/** Immutable list of the filters that a request has yet to pass. Runs each of them in its own trace span. */
public final class FilterChain {
    private final Optional<Filter> nextFilter;
    private final FilterChain remaining;
    private final Tracing tracing;

    private FilterChain(Optional<Filter> nextFilter, FilterChain remaining, Tracing tracing) {
        this.nextFilter = nextFilter;
        this.remaining = remaining;
        this.tracing = tracing;
    }

    /**
     * Returns a chain of filters.
     *
     * @param filters filters in the order in which requests pass them
     * @param tracing creates the spans
     * @return the chain
     */
    public static FilterChain of(List<Filter> filters, Tracing tracing) {
        FilterChain chain = new FilterChain(Optional.empty(), null, tracing);
        for (Filter filter : filters.reversed()) {
            chain = new FilterChain(Optional.of(filter), chain, tracing);
        }
        return chain;
    }

    /**
     * Passes a request through the remaining filters. Returns when the caller has the whole answer.
     *
     * @param request the request
     * @throws RouterException if the caller did not get a whole answer
     * @throws InterruptedException if the thread is interrupted because the caller disconnected
     */
    public void proceed(Request request) throws RouterException, InterruptedException {
        if (nextFilter.isEmpty()) {
            return;
        }
        Filter filter = nextFilter.get();
        Context outerContext = request.trace();
        Span span = tracing.start(filter.name(), SpanKind.INTERNAL, outerContext);
        request.trace(outerContext.with(span));
        try {
            filter.handle(request, remaining);
        } catch (RouterException e) {
            span.setStatus(StatusCode.ERROR, e.getMessage());
            throw e;
        } finally {
            request.trace(outerContext);
            span.end();
        }
    }
}
