package io.persimmonstack.router.request;

import io.persimmonstack.router.snapshot.Target;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tells which targets may take a request, apart from what they have loaded. All places that choose a target use it.
 *
 * @param failed targets that failed the request; they are excluded and their zones avoided where possible
 * @param origin where the stream began that a target has to go on with, empty before the first token
 */
public record TargetFilter(Set<Target> failed, Optional<StreamOrigin> origin) {
    private static final TargetFilter ANY = new TargetFilter(Set.of(), Optional.empty());

    /** Makes the set immutable. */
    public TargetFilter {
        failed = Set.copyOf(failed);
    }

    /** Returns the filter that admits every target. */
    public static TargetFilter any() {
        return ANY;
    }

    /** Returns a filter that also excludes a target. */
    public TargetFilter excluding(Target target) {
        Set<Target> excluded = new LinkedHashSet<>(failed);
        excluded.add(target);
        return new TargetFilter(excluded, origin);
    }

    /** Returns a filter that admits only targets that may go on with a stream. */
    public TargetFilter boundTo(StreamOrigin streamOrigin) {
        return new TargetFilter(failed, Optional.of(streamOrigin));
    }

    /** Returns the filter of a request that waits for capacity, which may return to targets that failed it. */
    public TargetFilter whileWaiting() {
        return new TargetFilter(Set.of(), origin);
    }

    /**
     * Returns whether a target may take the request.
     *
     * @param target the target
     * @param softwareVersion its software version, empty if it is not known
     */
    public boolean admits(Target target, Optional<String> softwareVersion) {
        boolean hasFailed = failed.stream().anyMatch(other -> other.id().equals(target.id()));
        return !hasFailed && origin.map(o -> o.fits(target, softwareVersion)).orElse(true);
    }

    /** Returns whether a target is in the zone of one that failed the request. */
    public boolean avoidsZoneOf(Target target) {
        return failed.stream().anyMatch(other -> other.zone().equals(target.zone()));
    }
}
