package io.persimmonstack.wire;

import java.net.InetAddress;

/**
 * IP address and TCP port of another process.
 *
 * @param ip IP address
 * @param port TCP port
 */
public record PeerAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;

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
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("'" + text + "': expected a port of at most " + MAX_PORT);
        }
        return new PeerAddress(text.substring(0, colon), port);
    }

    /**
     * Parses an address, of the form {@code ip:port}, to which a connection can be opened.
     *
     * @param text text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form, the part before the port is not the text of
     *     an IP address, or the port is 0
     */
    public static PeerAddress parseConnectable(String text) {
        PeerAddress address = parse(text);
        InetAddress.ofLiteral(address.ip());
        if (address.port() == 0) {
            throw new IllegalArgumentException("'" + text + "': expected a port of at least 1");
        }
        return address;
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
