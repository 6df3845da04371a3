package io.persimmonstack.backends.http;

import java.util.Objects;

/**
 * Header field of a request or an answer.
 *
 * @param name name, compared without regard to case
 * @param value value without line breaks
 */
public record HttpHeader(String name, String value) {
    /** Checks that neither part can break out of its line. */
    public HttpHeader {
        requireOneLine("name", name);
        requireOneLine("value", value);
    }

    /** Returns the header with the given name and value. */
    public static HttpHeader of(String name, String value) {
        return new HttpHeader(name, value);
    }

    static void requireOneLine(String argument, String text) {
        Objects.requireNonNull(text, argument);
        if (text.indexOf('\r') >= 0 || text.indexOf('\n') >= 0 || text.indexOf(0) >= 0) {
            throw new IllegalArgumentException(
                    argument + " '" + text.strip() + "': expected no line break and no NUL character");
        }
    }
}
