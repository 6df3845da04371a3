package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.router.request.Reply;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Headers that concern a single connection and must not be forwarded. */
public final class HopByHopHeaders {
    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HopByHopHeaders() {}

    /** Returns the headers without hop-by-hop ones, which include those listed in the Connection header. */
    public static List<HttpHeader> removeFrom(List<HttpHeader> headers) {
        Set<String> listedInConnection = headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .flatMap(header -> Stream.of(header.value().split(",")))
                .map(name -> name.strip().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return headers.stream()
                .filter(header -> !NAMES.contains(header.name().toLowerCase(Locale.ROOT)))
                .filter(header -> !listedInConnection.contains(header.name().toLowerCase(Locale.ROOT)))
                .toList();
    }

    /** Returns the headers of a runner's answer, without hop-by-hop ones, as headers of the reply. */
    static List<Reply.Header> toReplyHeaders(List<HttpHeader> headers) {
        return removeFrom(headers).stream()
                .map(header -> new Reply.Header(header.name(), header.value()))
                .toList();
    }
}
