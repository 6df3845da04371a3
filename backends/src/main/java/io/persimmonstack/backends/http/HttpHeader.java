package io.persimmonstack.backends.http;

import java.util.Objects;

/**
 * Header field of a request or a response.
 *
 * @param name field name, case-insensitive
 * @param value field value without line breaks
 */
public record HttpHeader(String name, String value) {
    /** Rejects line breaks and NUL characters, which would allow header injection. */
    public HttpHeader {
        requireOneLine("name", name);
        requireOneLine("value", value);
    }

    /** Returns the header with the given name and value. */
    public static HttpHeader of(String name, String value) {
        return new HttpHeader(name, value);
    }

    /** Throws an {@link IllegalArgumentException} if a text contains a line break or a NUL character. */
    static void requireOneLine(String argument, String text) {
        Objects.requireNonNull(text, argument);
        if (text.indexOf('\r') >= 0 || text.indexOf('\n') >= 0 || text.indexOf(0) >= 0) {
            throw new IllegalArgumentException(
                    argument + " '" + text.strip() + "': expected no line break and no NUL character");
        }
    }
}
