package io.persimmonstack.ctl.sheet;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.command.UsageException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Reads sheets from files. */
public final class SheetFile {
    private static final int MAX_LISTED_ERRORS = 50;

    private SheetFile() {}

    /**
     * Reads a sheet file.
     *
     * @param file path of the file
     * @return the sheet
     * @throws ProgramException if the sheet is invalid; the message lists at most {@value #MAX_LISTED_ERRORS} errors
     * @throws UsageException if the file cannot be read
     */
    public static Sheet read(String file) throws ProgramException, UsageException {
        return switch (SheetReader.read(readBytes(file))) {
            case SheetResult.Accepted accepted -> accepted.sheet();
            case SheetResult.Rejected rejected -> throw toException(file, rejected.errors());
        };
    }

    private static ProgramException toException(String file, List<SheetError> errors) {
        String lines = errors.stream()
                .limit(MAX_LISTED_ERRORS)
                .map(error -> "\n  " + error.message())
                .collect(Collectors.joining());
        String errorCount = errors.size() == 1 ? "1 error" : errors.size() + " errors";
        return new ProgramException(file + ": " + errorCount + ", nothing was changed" + lines);
    }

    private static byte[] readBytes(String file) throws UsageException {
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            return in.readNBytes(SheetReader.MAX_BYTES + 1);
        } catch (NoSuchFileException e) {
            throw new UsageException("'" + file + "': no such file; expected a sheet in CSV", e);
        } catch (IOException e) {
            throw new UsageException("'" + file + "': cannot be read: " + e.getMessage(), e);
        }
    }
}
