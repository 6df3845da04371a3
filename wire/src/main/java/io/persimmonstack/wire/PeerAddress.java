package io.persimmonstack.wire;

/**
 * IP address and TCP port of another process.
 *
 * @param ip IP address
 * @param port TCP port
 */
public record PeerAddress(String ip, int port) {
    /**
     * Parses an address of the form {@code ip:port}.
     *
     * @param text text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("'" + text + "': expected ip:port");
        }
        return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
