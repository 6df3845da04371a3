package io.persimmonstack.coordination.crowd;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a process survives a crowd: it is alive, stays within its memory and descriptors, and answers an ordinary
 * request afterwards. Times and shares of served requests are not checked.
 */
public final class CrowdCheck {
    /** Bounds a hang; it is no expectation of how fast an answer is. */
    private static final long GIVE_UP_SECONDS = 40;

    /** Time in which the process reads what clients have sent and the system still holds. */
    private static final long SETTLE_MS = 2_000;

    private static final long SAMPLE_INTERVAL_MS = 50;
    private static final long REPEAT_PAUSE_MS = 100;
    private final ProcessHandle process;
    private final long maxMb;
    private final long maxDescriptors;
    private final OrdinaryRequest ordinaryRequest;
    private volatile long mostDescriptors;

    /** Request within the limits. */
    public interface OrdinaryRequest {
        /** Sends the request once, and returns whether it was answered. */
        boolean isAnswered() throws InterruptedException;
    }

    private CrowdCheck(ProcessHandle process, long maxMb, long maxDescriptors, OrdinaryRequest ordinaryRequest) {
        this.process = process;
        this.maxMb = maxMb;
        this.maxDescriptors = maxDescriptors;
        this.ordinaryRequest = ordinaryRequest;
    }

    /**
     * Returns a check.
     *
     * @param process process with the listener
     * @param maxMb bound on its resident memory in megabytes
     * @param maxDescriptors bound on its open descriptors
     * @param ordinaryRequest repeated until it is answered
     */
    public static CrowdCheck of(
            ProcessHandle process, long maxMb, long maxDescriptors, OrdinaryRequest ordinaryRequest) {
        return new CrowdCheck(process, maxMb, maxDescriptors, ordinaryRequest);
    }

    /** Repeats the ordinary request until it is answered, for as long as the process lives. */
    public boolean answersOrdinaryRequest() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(GIVE_UP_SECONDS);
        while (process.isAlive() && System.nanoTime() < endNanos) {
            if (ordinaryRequest.isAnswered()) {
                return true;
            }
            Thread.sleep(REPEAT_PAUSE_MS);
        }
        return false;
    }

    /**
     * Lets a crowd send for at most the given time, and then checks the process while the connections are open.
     *
     * @throws AssertionError if a check fails; the message has what was measured
     */
    public void checkDuring(Crowd crowd, long sendingMs) throws IOException, InterruptedException {
        Thread sampling = Thread.ofPlatform().start(this::sampleDescriptors);
        try (crowd) {
            crowd.awaitSent(sendingMs);
            Thread.sleep(SETTLE_MS);
            boolean answered = answersOrdinaryRequest();
            boolean alive = process.isAlive();
            long peakMb = alive ? ProcessLoad.peakMb(process.pid()) : -1;
            String measured = String.format(
                    "alive %s, ordinary request answered %s, peak %d MB, descriptors %d",
                    alive, answered, peakMb, mostDescriptors);
            System.out.println(measured);
            if (!alive || !answered || peakMb > maxMb || mostDescriptors > maxDescriptors) {
                throw new AssertionError(measured);
            }
        } finally {
            sampling.interrupt();
            sampling.join();
        }
    }

    private void sampleDescriptors() {
        try {
            while (process.isAlive()) {
                mostDescriptors = Math.max(mostDescriptors, ProcessLoad.descriptors(process.pid()));
                Thread.sleep(SAMPLE_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | UncheckedIOException e) {
            // The process has ended, which the check reports.
        }
    }
}
