package io.persimmonstack.coordination.crowd;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Memory and descriptors of a process, read from {@code /proc}. */
public final class ProcessLoad {
    private static final long KB_PER_MB = 1024;

    private ProcessLoad() {}

    /** Returns the largest resident memory that a process has had, in megabytes. */
    public static long peakMb(long pid) throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/status"))) {
            String line =
                    lines.filter(text -> text.startsWith("VmHWM:")).findFirst().orElseThrow();
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
        }
    }

    /** Returns the number of descriptors that a process has open. */
    public static long descriptors(long pid) throws IOException {
        try (Stream<Path> entries = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return entries.count();
        }
    }
}
