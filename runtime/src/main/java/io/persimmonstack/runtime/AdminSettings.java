package io.persimmonstack.runtime;

import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;

/**
 * Where the admin port listens.
 *
 * @param ip IP number
 * @param port TCP port, 0 for any free one
 */
record AdminSettings(String ip, int port) {
    private static final String DEFAULT_ADDRESS = "127.0.0.1:0";

    static AdminSettings parse(ParsedOptions options) throws UsageException {
        String text = options.value("admin").orElse(DEFAULT_ADDRESS);
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new UsageException("--admin: '" + text + "'; expected ip:port such as 127.0.0.1:9000");
        }
        return new AdminSettings(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
