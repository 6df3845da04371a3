package io.persimmonstack.runtime.settings;

import java.util.regex.Pattern;

/** Checks the address formats that {@link Setting#form()} can require of a text value. */
final class AddressForm {
    private static final int MAX_PORT = 65_535;
    private static final Pattern IP_V4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");

    private AddressForm() {}

    /** Returns whether a value has the form {@code ""} (any), {@code "ip"} (IPv4) or {@code "ip:port"}. */
    static boolean matches(String form, String value) {
        return switch (form) {
            case "" -> true;
            case "ip" -> IP_V4.matcher(value).matches();
            case "ip:port" -> isAddress(value);
            default -> throw new IllegalStateException("unknown value form: " + form);
        };
    }

    /** Returns what the form expects, with an example, for error messages. */
    static String describe(String form) {
        return switch (form) {
            case "ip" -> "an IP number such as 127.0.0.1";
            default -> "IP number and port such as 127.0.0.1:7000";
        };
    }

    private static boolean isAddress(String value) {
        int colon = value.lastIndexOf(':');
        if (colon < 0 || !IP_V4.matcher(value.substring(0, colon)).matches()) {
            return false;
        }
        String port = value.substring(colon + 1);
        return port.matches("\\d{1,5}") && Integer.parseInt(port) <= MAX_PORT;
    }
}
