package io.persimmonstack.runtime.http;

import java.io.IOException;

/** Thrown when bytes are received that do not delimit an HTTP/1.1 message as the protocol prescribes. */
public final class FramingException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the part of the message, what was found there and what was expected. */
    public FramingException(String message) {
        super(message);
    }

    /** Returns an exception for a byte that may not occur at its place. */
    public static FramingException unexpectedByte(String place, int value, String expected) {
        return new FramingException(String.format("%s: byte 0x%02x; expected %s", place, value, expected));
    }
}
