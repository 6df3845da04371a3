package io.persimmonstack.router.filter;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.router.request.Grant;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** Sets a request's deadline and priority as requested by the caller, within the limits of deployment or service. */
public final class DeadlineFilter implements Filter {
    private static final int MAX_DEADLINE_MS = 3_600_000;

    private DeadlineFilter() {}

    /** Returns the filter, which is stateless. */
    public static DeadlineFilter create() {
        return new DeadlineFilter();
    }

    @Override
    public String name() {
        return "deadline";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        Grant grant = request.grant();
        int requestedMs =
                integerHeader(request, "x-deadline-ms", 1, MAX_DEADLINE_MS).orElse(grant.maxDeadlineMs());
        int allowedMs = Math.min(requestedMs, grant.maxDeadlineMs());
        int priority = integerHeader(request, "x-priority", 0, Deployment.LOWEST_PRIORITY)
                .orElse(grant.priority());
        request.setPriorityAndDeadline(
                Math.max(priority, grant.priority()),
                request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(allowedMs));
        next.proceed(request);
    }

    /** Returns the value of a header, empty if it is missing; refuses the request if it is not within the bounds. */
    private static OptionalInt integerHeader(Request request, String header, int min, int max) throws RefusalException {
        String text = request.message().header(header).orElse("").strip();
        if (text.isEmpty()) {
            return OptionalInt.empty();
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= min && value <= max) {
                return OptionalInt.of(value);
            }
        } catch (NumberFormatException e) {
            throw malformedHeader(header, text, min, max);
        }
        throw malformedHeader(header, text, min, max);
    }

    private static RefusalException malformedHeader(String header, String text, int min, int max) {
        String detail = header + " '" + text + "'; expected a whole number from " + min + " to " + max;
        return Refusal.notRun(RefusalCode.MALFORMED, detail).exception();
    }
}
