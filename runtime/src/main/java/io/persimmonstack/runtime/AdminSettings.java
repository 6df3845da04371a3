package io.persimmonstack.runtime;

import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;

/**
 * Address that the admin port listens on.
 *
 * @param ip IP address
 * @param port TCP port, 0 for any free port
 */
record AdminSettings(String ip, int port) {
    private static final String DEFAULT_ADDRESS = "127.0.0.1:0";

    /**
     * Reads the address from the option {@code --admin}, or returns {@link #DEFAULT_ADDRESS} where it is absent.
     *
     * @param options parsed command line
     * @return the address
     * @throws UsageException if the value does not have the form {@code ip:port}
     */
    static AdminSettings parse(ParsedOptions options) throws UsageException {
        String text = options.value("admin").orElse(DEFAULT_ADDRESS);
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new UsageException("--admin: '" + text + "'; expected ip:port such as 127.0.0.1:9000");
        }
        return new AdminSettings(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
