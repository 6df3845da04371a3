package io.persimmonstack.backends.http;

import io.persimmonstack.runtime.http.FramingException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Framing of the responses on one connection: their heads, and the bodies whose end the heads tell. Reads no more of a
 * head than that.
 */
final class ResponseFraming implements MessageFraming {
    /** Longest part of a header line that is kept; the lines that matter here are shorter. */
    private static final int MAX_KEPT_LINE_BYTES = 256;

    private static final int MAX_LENGTH_DIGITS = 18;
    private static final Pattern CONTINUE_STATUS_LINE = Pattern.compile("HTTP/1\\.\\d 100( .*)?");
    /** Statuses that end an exchange; HTTP has no others, and this client asks for no other protocol (101). */
    private static final Pattern FINAL_STATUS_LINE = Pattern.compile("HTTP/1\\.\\d [2-5]\\d\\d( .*)?");

    private final StringBuilder line = new StringBuilder();
    private boolean carriageReturn;
    private boolean statusLineRead;
    private boolean interim;
    private OptionalLong length = OptionalLong.empty();
    private boolean chunkedHead;
    private boolean bodiless;
    private Body body = new Body.None();

    /** What follows the last head that was read. */
    private sealed interface Body {
        /** Nothing: the next byte belongs to the next head. */
        record None() implements Body {}

        /** A body in chunks. */
        record Chunked(ChunkedFraming framing) implements Body {}

        /** The rest of a body with a length, in bytes. */
        record Length(long remaining) implements Body {}

        /** A body that ends with its connection. */
        record UntilClose() implements Body {}
    }

    private ResponseFraming() {}

    /** Returns the framing of the responses on a new connection. */
    static ResponseFraming begin() {
        return new ResponseFraming();
    }

    /** Reports, on the I/O thread, that a request is about to be sent; the response to a HEAD request has no body. */
    void requestStarts(String method) {
        bodiless = method.equals("HEAD");
    }

    /** Returns whether the last head announced a body in chunks. */
    boolean isChunked() {
        return chunkedHead;
    }

    @Override
    public void consume(ByteBuffer bytes) throws FramingException {
        while (bytes.hasRemaining()) {
            switch (body) {
                case Body.None none -> headByte(bytes);
                case Body.Chunked chunked -> consumeChunks(chunked.framing(), bytes);
                case Body.Length rest -> skip(rest.remaining(), bytes);
                case Body.UntilClose untilClose -> bytes.position(bytes.limit());
            }
        }
    }

    private void consumeChunks(ChunkedFraming framing, ByteBuffer bytes) throws FramingException {
        framing.consume(bytes);
        if (framing.isComplete()) {
            body = new Body.None();
        }
    }

    private void skip(long remaining, ByteBuffer bytes) {
        int count = (int) Math.min(remaining, bytes.remaining());
        bytes.position(bytes.position() + count);
        body = count == remaining ? new Body.None() : new Body.Length(remaining - count);
    }

    private void headByte(ByteBuffer bytes) throws FramingException {
        int value = bytes.get(bytes.position()) & 0xff;
        if (carriageReturn != (value == '\n')) {
            throw FramingException.unexpectedByte("response head", value, "lines that end with CR LF");
        }
        if (value == '\n') {
            endLine();
        } else if (value != '\r' && line.length() < MAX_KEPT_LINE_BYTES) {
            line.append((char) value);
        }
        carriageReturn = value == '\r';
        bytes.get();
    }

    private void endLine() throws FramingException {
        String content = line.toString();
        line.setLength(0);
        if (!statusLineRead) {
            startHead(content);
        } else if (content.isEmpty()) {
            endHead();
        } else {
            headerLine(content);
        }
    }

    /** Rejects a status that HTTP does not have: nothing is known of a request that is answered so. */
    private void startHead(String statusLine) throws FramingException {
        statusLineRead = true;
        interim = CONTINUE_STATUS_LINE.matcher(statusLine).matches();
        if (!interim && !FINAL_STATUS_LINE.matcher(statusLine).matches()) {
            throw new FramingException(
                    "status line: " + statusLine + "; expected HTTP/1.x and a status of 100 or from 200 to 599");
        }
        length = OptionalLong.empty();
        chunkedHead = false;
    }

    private void headerLine(String content) throws FramingException {
        if (content.charAt(0) == ' ' || content.charAt(0) == '\t') {
            throw new FramingException("response head: folded header line");
        }
        String name = content.substring(0, Math.max(0, content.indexOf(':')));
        String value = content.substring(name.length()).replaceFirst(":", "").strip();
        switch (name.strip().toLowerCase(Locale.ROOT)) {
            case "transfer-encoding" -> transferEncoding(value);
            case "content-length" -> contentLength(value);
            default -> {}
        }
    }

    private void transferEncoding(String value) throws FramingException {
        if (chunkedHead || length.isPresent() || !value.equalsIgnoreCase("chunked")) {
            throw new FramingException("Transfer-Encoding: " + value + "; expected chunked once, without a length");
        }
        chunkedHead = true;
    }

    private void contentLength(String value) throws FramingException {
        boolean number = value.matches("\\d{1," + MAX_LENGTH_DIGITS + "}");
        if (chunkedHead || length.isPresent() || !number) {
            throw new FramingException("Content-Length: " + value + "; expected one number of up to "
                    + MAX_LENGTH_DIGITS + " digits, without Transfer-Encoding");
        }
        length = OptionalLong.of(Long.parseLong(value));
    }

    private void endHead() {
        statusLineRead = false;
        body = interim ? new Body.None() : announcedBody();
    }

    private Body announcedBody() {
        if (bodiless || length.equals(OptionalLong.of(0))) {
            return new Body.None();
        }
        if (chunkedHead) {
            return new Body.Chunked(ChunkedFraming.begin());
        }
        return length.isPresent() ? new Body.Length(length.getAsLong()) : new Body.UntilClose();
    }
}
