package io.persimmonstack.router.request;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Place of a value in a JSON text.
 *
 * @param start offset of its first byte
 * @param end offset behind its last byte
 */
record JsonSpan(int start, int end) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Returns the number of bytes. */
    int length() {
        return end - start;
    }

    /** Returns the JSON text with a string in place of this value. */
    byte[] replacedIn(byte[] json, String text) {
        byte[] encoded = JsonStringEncoder.getInstance().quoteAsUTF8(text);
        ByteArrayOutputStream out = new ByteArrayOutputStream(json.length - length() + encoded.length + 2);
        out.write(json, 0, start);
        out.write('"');
        out.writeBytes(encoded);
        out.write('"');
        out.write(json, end, json.length - end);
        return out.toByteArray();
    }

    /** Returns the bytes of the value as text, one character a byte. */
    String rawText(byte[] json) {
        return new String(json, start, length(), StandardCharsets.ISO_8859_1);
    }

    /** Returns a 64-bit hash (FNV-1a) of the value, without the white space between its tokens. */
    long hash(byte[] json) {
        long hash = FNV_OFFSET;
        boolean inString = false;
        boolean escaped = false;
        for (int at = start; at < end; at++) {
            byte current = json[at];
            if (inString || !isWhiteSpace(current)) {
                hash = (hash ^ (current & 0xff)) * FNV_PRIME;
            }
            inString = (current == '"' && !escaped) != inString;
            escaped = inString && current == '\\' && !escaped;
        }
        return hash;
    }

    private static boolean isWhiteSpace(byte value) {
        return value == ' ' || value == '\t' || value == '\r' || value == '\n';
    }

    /** Returns a 64-bit hash (FNV-1a) that goes on from an earlier one with the first bytes of the value. */
    long hashOnward(byte[] json, long earlier, int maxBytes) {
        long hash = earlier;
        for (int at = start; at < Math.min(end, start + maxBytes); at++) {
            hash = (hash ^ (json[at] & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns the hash from which {@link #hashOnward} starts. */
    static long emptyHash() {
        return FNV_OFFSET;
    }
}
