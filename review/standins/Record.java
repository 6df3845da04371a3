import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, a line each, with the time since the start. Thread-safe. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        file.printf("%8.3f %s%n", seconds(), String.format(format, arguments));
    }
}
