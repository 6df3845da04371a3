package io.persimmonstack.runtime.admin;

import java.util.concurrent.atomic.AtomicReference;

/** Readiness of a program as reported by {@code GET /ready}. Thread-safe. */
public final class Readiness {
    /** Value of {@link #notReadyReason} while the program is ready. */
    private static final String READY = "";

    private final AtomicReference<String> notReadyReason = new AtomicReference<>("starting");

    private Readiness() {}

    /** Returns a readiness that reports {@code starting}. */
    public static Readiness starting() {
        return new Readiness();
    }

    /** Marks the program as ready. */
    public void ready() {
        notReadyReason.set(READY);
    }

    /**
     * Marks the program as not ready.
     *
     * @param reason reason shown to operators; must not be empty
     */
    public void notReady(String reason) {
        notReadyReason.set(reason);
    }

    /** Returns why the program is not ready, or an empty string when it is ready. */
    public String notReadyReason() {
        return notReadyReason.get();
    }

    /** Returns whether the program is ready. */
    public boolean isReady() {
        return notReadyReason.get().isEmpty();
    }
}
