package io.persimmonstack.standin.engine;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a group of engines that differ only in name, port and availability zone.
 *
 * @param name name of the engine; if there are several, they are named {@code name-1}, {@code name-2} and so on
 * @param count number of engines
 * @param firstPort TCP port of the first engine, the others use the following ones; 0 for any free ports
 * @param memoryBytes accelerator memory of each engine, in bytes
 * @param maxConcurrent maximum number of requests that run concurrently
 * @param maxQueued maximum number of queued requests; further ones are rejected
 * @param tokensPerSecond token rate of one request
 * @param prefillMs delay before the first token, in milliseconds
 * @param fencing whether the engines reject stale fencing tokens
 * @param resumes whether the engines can resume streams
 * @param zones availability zones, assigned round-robin
 * @param region region of all engines
 * @param diskBytesPerSecond rate of loads from the host's disk
 * @param memoryBytesPerSecond rate of loads from the host's memory
 * @param cached checkpoints that are on the host's disk at the start, each as {@code model@version}
 * @param softwareVersion version of the engines' software, told in their state and in their answers; empty to tell none
 * @param orderToken bearer token that orders must carry; absent to accept all orders
 */
public record EngineGroup(
        String name,
        @Setting(min = 1, fallback = "1") int count,
        @Setting(min = 0, max = 65_535) int firstPort,
        @Setting(min = 1) long memoryBytes,
        @Setting(min = 1, fallback = "8") int maxConcurrent,
        @Setting(min = 0, fallback = "16") int maxQueued,
        @Setting(min = 1, fallback = "50") int tokensPerSecond,
        @Setting(min = 0, fallback = "20") int prefillMs,
        @Setting(fallback = "true") boolean fencing,
        @Setting(fallback = "true") boolean resumes,
        @Setting(min = 1) List<String> zones,
        String region,
        @Setting(min = 1, fallback = "4000000000") long diskBytesPerSecond,
        @Setting(min = 1, fallback = "20000000000") long memoryBytesPerSecond,
        @Setting(fallback = "[]") List<String> cached,
        @Setting(fallback = "\"1\"") String softwareVersion,
        Optional<String> orderToken) {
    /** Returns the name of the engine at the given zero-based index. */
    public String engineName(int index) {
        return count == 1 ? name : name + "-" + (index + 1);
    }

    /** Returns the version of the software that the engines tell, empty if they tell none. */
    Optional<String> announcedVersion() {
        return softwareVersion.isBlank() ? Optional.empty() : Optional.of(softwareVersion);
    }

    /** Returns the port of the engine at the given zero-based index, 0 for any free port. */
    public int port(int index) {
        return firstPort == 0 ? 0 : firstPort + index;
    }

    /** Returns the availability zone of the engine at the given zero-based index. */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
