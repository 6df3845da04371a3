package io.persimmonstack.backends.http;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long the other side keeps an idle connection open. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("(?i)(?:^|[,;\\s])timeout=(\\d{1,6})");
    private static final int MS_PER_SECOND = 1_000;

    /** A request that is sent as the other side closes may be lost. */
    private static final int MARGIN_MS = 500;

    private KeepAlive() {}

    /**
     * Returns how long a connection may be kept for another request.
     *
     * @param header value of the Keep-Alive header, or null
     * @return time in milliseconds, absent where the header states none
     */
    static OptionalInt idleMs(String header) {
        Matcher timeout = TIMEOUT.matcher(header == null ? "" : header);
        return timeout.find()
                ? OptionalInt.of(Integer.parseInt(timeout.group(1)) * MS_PER_SECOND - MARGIN_MS)
                : OptionalInt.empty();
    }
}
