package io.persimmonstack.ctl.command;

import io.persimmonstack.configuration.CallerKey;
import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.command.UsageException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Creates a key for a caller and prints it. Only a salted hash of the key is stored, so it cannot be printed again.
 */
public final class CallerAddCommand implements Command {
    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 16;

    @Override
    public String name() {
        return "caller add";
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.ACCESS;
    }

    @Override
    public String summary() {
        return "Creates a key for a caller and prints it; it cannot be printed again.";
    }

    @Override
    public String operands() {
        return "<name>";
    }

    @Override
    public void run(ParsedOptions parsed, FleetClient fleet, Terminal terminal) throws RuntimeFailure {
        String name = singleOperand(parsed);
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9_-]{0,99}")) {
            throw new UsageException(
                    "'" + name + "': expected a name of letters, digits, '_' and '-', at most 100 characters");
        }
        String key = CallerKey.key(name, randomHex(SECRET_BYTES));
        fleet.commit(fleet.activeConfiguration().withCaller(CallerKey.of(name, randomHex(SALT_BYTES), key)));
        terminal.out().println(key);
    }

    private static String randomHex(int byteCount) {
        byte[] randomBytes = new byte[byteCount];
        new SecureRandom().nextBytes(randomBytes);
        return HexFormat.of().formatHex(randomBytes);
    }
}
