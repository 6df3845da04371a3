package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Whether a runner is used for a request, and what this is decided by.
 *
 * @param runner the runner
 * @param exclusion why it is not used, empty if it may be
 * @param pausedMs remaining time of the pause that it asked for, in milliseconds; empty if it asked for none
 * @param requests requests in progress
 * @param slots requests that it may have in progress
 * @param tokens estimated tokens of the requests in progress
 * @param pace time that it takes, relative to the usual one
 * @param zonePrice price of sending the request to its zone, in units of the usual time of a request
 * @param cost expected time of the request, by which runners are compared
 */
public record RunnerVerdict(
        Runner runner,
        Optional<RunnerExclusion> exclusion,
        OptionalLong pausedMs,
        int requests,
        int slots,
        long tokens,
        double pace,
        double zonePrice,
        double cost) {
    RunnerVerdict excludedBy(RunnerExclusion reason) {
        return new RunnerVerdict(runner, Optional.of(reason), pausedMs, requests, slots, tokens, pace, zonePrice, cost);
    }
}
