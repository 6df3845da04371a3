package io.persimmonstack.coordination.time;

/** Clocks of one process. No guarantee of the library depends on them; they only decide when it acts. */
public interface TimeSource {
    /** Returns the monotonic time in nanoseconds since an arbitrary origin. */
    long nanoTime();

    /** Returns the wall-clock time in milliseconds since 1970-01-01 UTC. */
    long currentTimeMillis();

    /** Returns a time source backed by the clocks of the operating system. */
    static TimeSource system() {
        return new TimeSource() {
            @Override
            public long nanoTime() {
                return System.nanoTime();
            }

            @Override
            public long currentTimeMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
