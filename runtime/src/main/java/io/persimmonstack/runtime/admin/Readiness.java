package io.persimmonstack.runtime.admin;

import java.util.concurrent.atomic.AtomicReference;

/** What {@code GET /ready} answers: ready, or why not. */
public final class Readiness {
    private static final String READY = "";
    private final AtomicReference<String> notReadyReason = new AtomicReference<>("starting");

    private Readiness() {}

    /** Returns a readiness that is still starting. */
    public static Readiness starting() {
        return new Readiness();
    }

    /** Declares the program ready. */
    public void ready() {
        notReadyReason.set(READY);
    }

    /**
     * Declares the program not ready.
     *
     * @param reason why, shown to operators
     */
    public void notReady(String reason) {
        notReadyReason.set(reason);
    }

    /** Returns why the program is not ready, or an empty text. */
    public String notReadyReason() {
        return notReadyReason.get();
    }

    /** Returns whether the program is ready. */
    public boolean isReady() {
        return notReadyReason.get().isEmpty();
    }
}
