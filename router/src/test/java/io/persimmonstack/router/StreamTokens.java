package io.persimmonstack.router;

import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Numbered tokens of streamed answers. */
final class StreamTokens {
    private static final Pattern TOKEN = Pattern.compile("\"content\":\"(t\\d+) \"");

    private StreamTokens() {}

    /** Returns the tokens t1 to tn. */
    static List<String> upTo(int count) {
        return IntStream.rangeClosed(1, count).mapToObj(i -> "t" + i).toList();
    }

    /** Returns the tokens in the body of a streamed answer. */
    static List<String> parse(String body) {
        return TOKEN.matcher(body)
                .results()
                .map((MatchResult result) -> result.group(1))
                .toList();
    }
}
