package io.persimmonstack.standin.fault;

import java.io.IOException;

/** Ends work whose connection has fallen silent. */
public final class SilentConnectionException extends IOException {
    private static final long serialVersionUID = 1L;

    SilentConnectionException() {
        super("the connection is silent by command");
    }
}
