package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.Refusal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Where a request for a service would go now. With neither a choice nor a refusal it would wait in the queue.
 *
 * @param runners all runners of the service, those that may be used first, by cost
 * @param choice cheapest runner that may be used
 * @param zoneCause why it is in its zone; empty without a choice or where the settings list only one zone
 * @param sample number of runners, drawn at random from those that may be used, of which the cheapest is used
 * @param refusal answer to the caller
 * @param expectedLoadMs time until the model can be loaded, by the leader's estimate; empty if there is none
 */
public record PlacementOutlook(
        List<RunnerVerdict> runners,
        Optional<RunnerVerdict> choice,
        Optional<ZoneCause> zoneCause,
        int sample,
        Optional<Refusal> refusal,
        OptionalLong expectedLoadMs) {
    /** Copies the list. */
    public PlacementOutlook {
        runners = List.copyOf(runners);
    }
}
