package io.persimmonstack.runtime.http;

import io.persimmonstack.runtime.FatalErrors;
import io.undertow.server.HttpHandler;

/** Ends the process if a handler runs into an error of the virtual machine. */
public final class FatalErrorHandler {
    private FatalErrorHandler() {}

    /**
     * Returns a handler that ends the process on such an error. Undertow and XNIO catch every error of a handler, so
     * that a process without memory would go on half-dead.
     */
    public static HttpHandler wrap(HttpHandler handler) {
        return exchange -> {
            try {
                handler.handleRequest(exchange);
            } catch (VirtualMachineError e) {
                throw FatalErrors.end(e);
            }
        };
    }
}
