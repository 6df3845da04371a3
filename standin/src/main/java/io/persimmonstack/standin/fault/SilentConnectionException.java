package io.persimmonstack.standin.fault;

import java.io.IOException;

/** Aborts the processing of a request whose connection is silenced by {@link FaultType#SILENT}. */
public final class SilentConnectionException extends IOException {
    private static final long serialVersionUID = 1L;

    SilentConnectionException() {
        super("the connection is silenced by an injected fault");
    }
}
