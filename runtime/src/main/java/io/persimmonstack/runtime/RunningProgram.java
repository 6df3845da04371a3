package io.persimmonstack.runtime;

/** Started program. {@link #stop()} is called first and drains it; {@link #close()} releases the rest immediately. */
public interface RunningProgram extends AutoCloseable {
    /**
     * Stops gracefully: refuses new work, finishes accepted work and returns once none is left.
     *
     * @throws InterruptedException if the thread is interrupted before all work is finished
     */
    void stop() throws InterruptedException;

    @Override
    void close();
}
