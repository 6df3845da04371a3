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
        requireOneLine("name", name, false);
        requireOneLine("value", value, isCredential(name));
    }

    /** Returns the header with the given name and value. */
    public static HttpHeader of(String name, String value) {
        return new HttpHeader(name, value);
    }

    /** Leaves the value of a header with credentials out, since texts end up in logs. */
    @Override
    public String toString() {
        return name + ": " + (isCredential(name) ? "(not shown)" : value);
    }

    private static boolean isCredential(String name) {
        return name.equalsIgnoreCase("Authorization") || name.equalsIgnoreCase("Proxy-Authorization");
    }

    /** Throws an {@link IllegalArgumentException} if a text contains a line break or a NUL character. */
    private static void requireOneLine(String argument, String text, boolean secret) {
        Objects.requireNonNull(text, argument);
        if (text.indexOf('\r') >= 0 || text.indexOf('\n') >= 0 || text.indexOf(0) >= 0) {
            throw new IllegalArgumentException(argument + " '" + (secret ? "(not shown)" : text.strip())
                    + "': expected no line break and no NUL character");
        }
    }
}
