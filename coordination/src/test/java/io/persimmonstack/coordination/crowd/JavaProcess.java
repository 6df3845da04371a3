package io.persimmonstack.coordination.crowd;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs a main class of the class path as a separate process, with the options of a deployed one and a small heap. */
public final class JavaProcess implements AutoCloseable {
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xms24m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseCompactObjectHeaders",
            "-Djdk.virtualThreadScheduler.parallelism=1",
            "-Djdk.virtualThreadScheduler.maxPoolSize=4",
            "-XX:+ErrorFileToStdout",
            "-XX:+ExitOnOutOfMemoryError");
    private final Process process;

    private JavaProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param heapMb largest heap in megabytes
     * @param log file that its output is appended to
     * @param main main class
     * @param arguments command line
     */
    public static JavaProcess start(int heapMb, File log, Class<?> main, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heapMb + "m");
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(arguments));
        return new JavaProcess(new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start());
    }

    /** Returns the handle of the process. */
    public ProcessHandle handle() {
        return process.toHandle();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
