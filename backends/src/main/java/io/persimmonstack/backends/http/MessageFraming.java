package io.persimmonstack.backends.http;

import io.persimmonstack.runtime.http.FramingException;
import java.nio.ByteBuffer;

/** Follows the framing of received HTTP/1.1 messages byte by byte. Not thread-safe. */
sealed interface MessageFraming permits ChunkedFraming, ResponseFraming {
    /**
     * Checks the next bytes.
     *
     * @param bytes received bytes, of which this method takes those that it has checked
     * @throws FramingException if the framing is malformed; the position is that of the first byte that does not fit
     */
    void consume(ByteBuffer bytes) throws FramingException;
}
