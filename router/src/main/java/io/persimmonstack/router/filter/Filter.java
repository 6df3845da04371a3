package io.persimmonstack.router.filter;

import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;

/** One step in the handling of a request. Implementations are thread-safe. */
public interface Filter {
    /** Returns the name of the step, which is also the name of its trace span. */
    String name();

    /**
     * Handles a request and passes it to the remaining filters.
     *
     * @param request the request
     * @param next the remaining filters
     * @throws RouterException if the caller did not get a whole answer
     * @throws InterruptedException if the thread is interrupted because the caller disconnected
     */
    void handle(Request request, FilterChain next) throws RouterException, InterruptedException;
}
