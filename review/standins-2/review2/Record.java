package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes record.txt of a case: what was sent, answered and run. */
final class Record {
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    static synchronized void write(String text) {
        String line = "%7.3f s  %s".formatted(Clock.ms() / 1000.0, text);
        out.println(line);
        out.flush();
    }

    /** Writes a line here and on the console. */
    static synchronized void tell(String text) {
        write(text);
        System.out.println(text);
    }
}
