package io.persimmonstack.load;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;

/**
 * Settings of persimmon-load.
 *
 * @param entries addresses of the routers from which the list of router addresses is first fetched
 * @param ledgers addresses of the stand-ins whose ledgers are compared with the answers
 * @param seed seed of all random choices
 * @param durationMs time during which requests are sent, in milliseconds
 * @param deadlineMs deadline of each request, in milliseconds
 * @param graceMs time in milliseconds that a caller waits beyond the deadline; an answer in this time counts as late
 * @param models models to request, as {@code model} or {@code model+adapter}, not loaded at the start
 * @param burstSize number of requests that one burst sends at once to its model
 * @param burstEveryMs time between two bursts, in milliseconds; successive bursts go to successive models
 * @param burstRounds number of rounds, in each of which every model gets one burst
 * @param chatsPerSecond chat requests a second to the models whose first burst was sent
 * @param wholePercent share of these chat requests whose answers are not streamed, in percent
 * @param maxTokens length of each answer to a chat request, in tokens
 * @param sessionsPerHour sessions an hour, before compression, of a generated trace for the models; 0 for no trace
 * @param compression factor by which the trace is sent faster than it was generated
 * @param replayLoadMs duration of a model load in the replay of the trace, in milliseconds
 * @param replayWeight idle accelerator seconds that cost as much as one second of cold start in the replay
 * @param services plain services to call, as {@code name/path}; their calls must not run twice
 * @param callsPerSecond calls a second to the plain services
 * @param routersMayDie whether routers are killed during the run, so that dropped requests violate no guarantee
 * @param maxInFlight maximum number of requests in flight; requests beyond it are not sent and counted as skipped
 */
public record LoadSettings(
        @Setting(form = "ip:port", min = 1) List<String> entries,
        @Setting(form = "ip:port", fallback = "[]") List<String> ledgers,
        @Setting(fallback = "1") long seed,
        @Setting(min = 100, max = 3_600_000) int durationMs,

        @Setting(min = 100, max = 600_000, fallback = "20000")
        int deadlineMs,

        @Setting(min = 0, max = 600_000, fallback = "2000") int graceMs,

        @Setting(min = 0, max = 10_000) List<String> models,
        @Setting(min = 0, max = 10_000) int burstSize,
        @Setting(min = 1, max = 600_000, fallback = "1000") int burstEveryMs,
        @Setting(min = 1, max = 1_000, fallback = "1") int burstRounds,
        @Setting(min = 0, max = 10_000) int chatsPerSecond,
        @Setting(min = 0, max = 100, fallback = "0") int wholePercent,
        @Setting(min = 1, max = 10_000, fallback = "16") int maxTokens,
        @Setting(min = 0, max = 100_000, fallback = "0") int sessionsPerHour,
        @Setting(min = 1, max = 1_000, fallback = "15") int compression,

        @Setting(min = 1, max = 600_000, fallback = "2000") int replayLoadMs,

        @Setting(min = 0, max = 1_000_000, fallback = "60") double replayWeight,
        @Setting(min = 0, max = 100) List<String> services,
        @Setting(min = 0, max = 10_000) int callsPerSecond,
        @Setting(fallback = "false") boolean routersMayDie,
        @Setting(min = 1, max = 100_000, fallback = "1000") int maxInFlight) {}
