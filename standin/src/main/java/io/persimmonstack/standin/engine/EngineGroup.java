package io.persimmonstack.standin.engine;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;
import java.util.Optional;

/**
 * Engines that differ only in name, port and zone.
 *
 * @param name name of the only engine, or beginning of their names, to which {@code -1} and so on is added
 * @param count how many
 * @param firstPort TCP port of the first, the others follow; 0 for any free ones
 * @param memoryBytes accelerator memory of each
 * @param maxConcurrent requests that run at once
 * @param maxQueued requests that wait for a place
 * @param tokensPerSecond tokens of one stream each second
 * @param prefillMs time until the first token, in milliseconds
 * @param fencing whether they refuse old fencing numbers
 * @param resumes whether they resume streams
 * @param zones availability zones, taken in turn
 * @param region region
 * @param diskBytesPerSecond speed of loads from the host's disk
 * @param memoryBytesPerSecond speed of loads from the host's memory
 * @param cached checkpoints on the host's disk at the start, each {@code model@version}
 * @param orderToken bearer token without which orders are refused, not checked where absent
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
        Optional<String> orderToken) {
    /** Returns the name of the engine at the given index from 0. */
    public String engineName(int index) {
        return count == 1 ? name : name + "-" + (index + 1);
    }

    /** Returns the port of the engine at the given index from 0. */
    public int port(int index) {
        return firstPort == 0 ? 0 : firstPort + index;
    }

    /** Returns the zone of the engine at the given index from 0. */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
