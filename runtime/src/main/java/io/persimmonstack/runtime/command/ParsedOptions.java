package io.persimmonstack.runtime.command;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;

/** Options and operands of a parsed command line. */
public final class ParsedOptions {
    private final OptionSet optionSet;

    private ParsedOptions(OptionSet optionSet) {
        this.optionSet = optionSet;
    }

    static ParsedOptions of(OptionSet optionSet) {
        return new ParsedOptions(optionSet);
    }

    /** Returns whether the option was given. */
    public boolean has(String name) {
        return optionSet.has(name);
    }

    /** Returns the value of the option, or empty if it was not given. */
    public Optional<String> value(String name) {
        return Optional.ofNullable((String) optionSet.valueOf(name));
    }

    /**
     * Returns the value of a required option.
     *
     * @param name name of the option
     * @return its value
     * @throws UsageException if it was not given
     */
    public String required(String name) throws UsageException {
        return value(name).orElseThrow(() -> new UsageException("--" + name + ": missing; the option is required"));
    }

    /**
     * Returns the value of an option that takes a whole number.
     *
     * @param name name of the option
     * @param fallback value where the option is absent
     * @param min smallest value allowed
     * @param max largest value allowed
     * @return the number
     * @throws UsageException if the value is not a whole number or is out of bounds
     */
    public long number(String name, long fallback, long min, long max) throws UsageException {
        Optional<String> text = value(name);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            long number = Long.parseLong(text.get());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new UsageException("--" + name + ": '" + text.get() + "'; expected a whole number", e);
        }
        throw new UsageException("--" + name + ": " + text.get() + "; expected " + min + " to " + max);
    }

    /**
     * Rejects operands, for a command that takes none.
     *
     * @throws UsageException if an operand was given
     */
    public void rejectOperands() throws UsageException {
        if (!operands().isEmpty()) {
            throw new UsageException("'" + operands().get(0) + "': unexpected; expected only options");
        }
    }

    /** Returns the arguments that are not options, in order. */
    public List<String> operands() {
        return optionSet.nonOptionArguments().stream().map(Object::toString).toList();
    }
}
