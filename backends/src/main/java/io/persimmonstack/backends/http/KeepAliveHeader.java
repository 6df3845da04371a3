package io.persimmonstack.backends.http;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the Keep-Alive response header, in which a server says how long it keeps an idle connection open. */
final class KeepAliveHeader {
    private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("(?i)(?:^|[,;\\s])timeout=(\\d{1,6})");
    private static final int MS_PER_SECOND = 1_000;

    /** Safety margin: a request that is sent while the server closes the connection may be lost. */
    private static final int CLOSE_MARGIN_MS = 500;

    private KeepAliveHeader() {}

    /**
     * Returns how long a connection may stay idle before it must not be used any more.
     *
     * @param header value of the Keep-Alive header, or null
     * @return time in milliseconds, not positive if the connection must not be reused; empty if the header has no
     *     timeout
     */
    static OptionalInt maxIdleMs(String header) {
        Matcher timeout = TIMEOUT_PARAMETER.matcher(header == null ? "" : header);
        return timeout.find()
                ? OptionalInt.of(Integer.parseInt(timeout.group(1)) * MS_PER_SECOND - CLOSE_MARGIN_MS)
                : OptionalInt.empty();
    }
}
