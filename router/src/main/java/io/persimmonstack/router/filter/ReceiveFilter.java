package io.persimmonstack.router.filter;

import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.ChatBody;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.runtime.NearestMatch;
import java.util.List;

/** Checks path and method of a request and parses the body of a chat completion. */
public final class ReceiveFilter implements Filter {
    /** Path of chat completions. */
    public static final String COMPLETIONS_PATH = "/v1/chat/completions";

    /** Prefix of the paths of service calls; the name of the service follows. */
    public static final String SERVICES_PREFIX = "/services/";

    private static final List<String> KNOWN_PATHS =
            List.of(COMPLETIONS_PATH, "/v1/models", "/v1/addresses", SERVICES_PREFIX + "{name}/");
    private static final long STARTING_RETRY_AFTER_MS = 1_000;
    private final FleetViews views;

    private ReceiveFilter(FleetViews views) {
        this.views = views;
    }

    /** Returns a filter that refuses requests until the fleet view is present. */
    public static ReceiveFilter of(FleetViews views) {
        return new ReceiveFilter(views);
    }

    @Override
    public String name() {
        return "receive";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        if (!views.current().hasSnapshot()) {
            throw Refusal.notRun(RefusalCode.STARTING, "no snapshot of the fleet yet", STARTING_RETRY_AFTER_MS)
                    .exception();
        }
        CallerMessage message = request.message();
        if (message.path().equals(COMPLETIONS_PATH)) {
            if (!message.method().equals("POST")) {
                throw Refusal.notRun(RefusalCode.MALFORMED, "method " + message.method() + "; expected POST")
                        .exception();
            }
            request.chatBody(ChatBody.parse(message.body()));
        } else if (!message.path().startsWith(SERVICES_PREFIX)) {
            String hint = NearestMatch.hint(message.path(), KNOWN_PATHS);
            throw Refusal.notRun(
                            RefusalCode.UNKNOWN_PATH,
                            message.path() + ": expected one of " + String.join(", ", KNOWN_PATHS) + hint)
                    .exception();
        }
        next.proceed(request);
    }
}
