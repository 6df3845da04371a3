package io.persimmonstack.coordination.crowd;

import java.io.IOException;

/** Time for which a process is suspended, so that what clients send waits in the system. */
public final class ProcessPause implements AutoCloseable {
    private final long pid;

    private ProcessPause(long pid) {
        this.pid = pid;
    }

    /** Suspends a process until the pause is closed. */
    public static ProcessPause begin(long pid) throws IOException, InterruptedException {
        signal("STOP", pid);
        return new ProcessPause(pid);
    }

    private static void signal(String name, long pid) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", "-" + name, Long.toString(pid))
                .start()
                .waitFor();
        if (status != 0) {
            throw new IOException("signal " + name + " to process " + pid + ": status " + status);
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        signal("CONT", pid);
    }
}
