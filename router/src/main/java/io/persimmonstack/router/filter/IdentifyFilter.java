package io.persimmonstack.router.filter;

import io.persimmonstack.configuration.CallerKey;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.snapshot.FleetViews;

/** Identifies the caller by comparing its bearer key with the salted hashes in the configuration. */
public final class IdentifyFilter implements Filter {
    private static final String BEARER_PREFIX = "Bearer ";
    private final FleetViews views;

    private IdentifyFilter(FleetViews views) {
        this.views = views;
    }

    /** Returns a filter that uses the configuration in the current fleet view. */
    public static IdentifyFilter of(FleetViews views) {
        return new IdentifyFilter(views);
    }

    @Override
    public String name() {
        return "identify";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        request.caller(identify(request.message(), views.current().configuration()));
        next.proceed(request);
    }

    /**
     * Identifies the caller of a message.
     *
     * @param message message with an {@code Authorization} header
     * @param configuration current configuration
     * @return name of the caller
     * @throws RefusalException if the key is missing or unknown
     */
    public static String identify(CallerMessage message, FleetConfiguration configuration) throws RefusalException {
        String header = message.header("authorization").orElse("");
        if (!header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            throw Refusal.notRun(RefusalCode.NOT_IDENTIFIED, "Authorization missing; expected Bearer and a key")
                    .exception();
        }
        return configuration
                .callerWithKey(header.substring(BEARER_PREFIX.length()).strip())
                .map(CallerKey::caller)
                .orElseThrow(() -> Refusal.notRun(RefusalCode.NOT_IDENTIFIED, "Authorization: the key is not known")
                        .exception());
    }
}
