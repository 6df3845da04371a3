package io.persimmonstack.router.request;

import io.persimmonstack.runtime.event.LoggedValues;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Keeps the most recent refusals for {@code GET /refusals/} on the admin port. Thread-safe. */
public final class RefusalLog {
    private static final int MAX_REFUSALS = 1_024;
    private static final String SERVICES_PREFIX = "/services/";
    private final Deque<RefusedRequest> refusals = new ArrayDeque<>();

    private RefusalLog() {}

    /**
     * Refused request, as shown on the admin port.
     *
     * @param request identifier of the request
     * @param atMs time of the refusal in milliseconds since the epoch
     * @param asked model name that the caller sent, {@code service:name}, or the path if the request was for neither
     * @param policy deployment or service whose policy applied, empty if none did
     * @param caller name of the caller, empty if it was not identified
     * @param code code of the problem document
     * @param ran whether the request ran: {@code no} or {@code unknown}
     * @param reason detail of the problem document
     * @param waitedMs time from arrival to the refusal in milliseconds
     */
    public record RefusedRequest(
            String request,
            long atMs,
            String asked,
            String policy,
            String caller,
            String code,
            String ran,
            String reason,
            long waitedMs) {
        boolean matches(String subject) {
            return request.equals(subject)
                    || request.startsWith(subject + '.')
                    || asked.equals(subject)
                    || asked.startsWith(subject + '@')
                    || policy.equals(subject);
        }
    }

    /** Returns an empty log. */
    public static RefusalLog create() {
        return new RefusalLog();
    }

    /** Adds a refusal; if the log is full, the oldest one is dropped. */
    public void add(Request request, Refusal refusal) {
        RefusedRequest refused = new RefusedRequest(
                request.id(),
                System.currentTimeMillis(),
                LoggedValues.shortened(requestedName(request)),
                request.policy(),
                request.caller(),
                refusal.code().code(),
                refusal.ran().text(),
                refusal.detail(),
                request.ageMs());
        synchronized (refusals) {
            refusals.addLast(refused);
            if (refusals.size() > MAX_REFUSALS) {
                refusals.removeFirst();
            }
        }
    }

    private static String requestedName(Request request) {
        if (request.chatBody().isPresent()) {
            return request.chatBody().get().model().text();
        }
        String path = request.message().path();
        return path.startsWith(SERVICES_PREFIX)
                ? "service:" + path.substring(SERVICES_PREFIX.length()).split("/", 2)[0]
                : path;
    }

    /**
     * Returns the refusals that match a subject, newest first.
     *
     * @param subject request identifier, model, deployment or {@code service:name}; empty for all
     * @return matching refusals
     */
    public List<RefusedRequest> matching(String subject) {
        synchronized (refusals) {
            return refusals.reversed().stream()
                    .filter(refused -> subject.isEmpty() || refused.matches(subject))
                    .toList();
        }
    }
}
