import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** Head of a message; header names are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns null at the end of the channel. */
    static Head readHead(BufferedInputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        if (line == null) {
            throw new EOFException("end within a head");
        }
        return new Head(first, headers);
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding") != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.write(chunk);
            }
        }
        String length = head.header("content-length");
        if (length == null) {
            return new byte[0];
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException("end within a body");
        }
        return body;
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("end between chunks");
        }
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("end within a chunk");
        }
        String end = readLine(in);
        if (end == null) {
            throw new EOFException("end after a chunk");
        }
        return chunk;
    }
}
