package io.persimmonstack.backends.http;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long the other side keeps an idle connection open. */
final class KeepAliveHeader {
    private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("(?i)(?:^|[,;\\s])timeout=(\\d{1,6})");
    private static final int MS_PER_SECOND = 1_000;

    /** A request that is sent as the other side closes may be lost. */
    private static final int CLOSE_MARGIN_MS = 500;

    private KeepAliveHeader() {}

    /**
     * Returns how long a connection may be kept for another request.
     *
     * @param header value of the Keep-Alive header, or null
     * @return time in milliseconds, absent where the header states none
     */
    static OptionalInt maxIdleMs(String header) {
        Matcher timeout = TIMEOUT_PARAMETER.matcher(header == null ? "" : header);
        return timeout.find()
                ? OptionalInt.of(Integer.parseInt(timeout.group(1)) * MS_PER_SECOND - CLOSE_MARGIN_MS)
                : OptionalInt.empty();
    }
}
