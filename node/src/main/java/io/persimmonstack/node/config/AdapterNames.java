package io.persimmonstack.node.config;

/**
 * Names of the adapters of a model: a common prefix and a number from 1 on, such as {@code a1}.
 *
 * @param prefix start of each name
 * @param count number of adapters
 */
public record AdapterNames(String prefix, int count) {
    private static final int MAX_DIGITS = 9;

    /** Returns the names of a model without adapters. */
    public static AdapterNames none() {
        return new AdapterNames("", 0);
    }

    /** Returns whether the model has an adapter of this name. */
    public boolean contains(String name) {
        int digits = name.length() - prefix.length();
        if (count == 0 || !name.startsWith(prefix) || digits < 1 || digits > MAX_DIGITS) {
            return false;
        }
        int number = 0;
        for (int at = prefix.length(); at < name.length(); at++) {
            int digit = name.charAt(at) - '0';
            if (digit < 0 || digit > 9) {
                return false;
            }
            number = 10 * number + digit;
        }
        boolean hasLeadingZero = name.charAt(prefix.length()) == '0';
        return !hasLeadingZero && number <= count;
    }
}
