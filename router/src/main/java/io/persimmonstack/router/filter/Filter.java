package io.persimmonstack.router.filter;

import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;

/** One step on the way of a request. */
public interface Filter {
    /** Returns the name of the step, shown as the name of its span. */
    String name();

    /**
     * Handles a request and passes it on.
     *
     * @param request the request
     * @param next the filters that follow
     * @throws RouterException if the request does not get a whole answer
     * @throws InterruptedException if the caller has left
     */
    void handle(Request request, FilterChain next) throws RouterException, InterruptedException;
}
