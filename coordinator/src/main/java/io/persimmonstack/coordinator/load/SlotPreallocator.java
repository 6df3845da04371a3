package io.persimmonstack.coordinator.load;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import java.util.Optional;

/** Grants the slots that {@link SlotPlanner} proposes for runners of this node. */
public final class SlotPreallocator {
    private final FleetView view;
    private final Runners runners;
    private final WeightCatalogueCache catalogue;
    private final ConfigurationFeed<FleetConfiguration> feed;

    private SlotPreallocator(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogue,
            ConfigurationFeed<FleetConfiguration> feed) {
        this.view = view;
        this.runners = runners;
        this.catalogue = catalogue;
        this.feed = feed;
    }

    /**
     * Creates a preallocator.
     *
     * @param view all known runners
     * @param runners agents of the runners that this node owns
     * @param catalogue sizes of the models
     * @param feed configuration with the replica caps
     */
    public static SlotPreallocator of(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogue,
            ConfigurationFeed<FleetConfiguration> feed) {
        return new SlotPreallocator(view, runners, catalogue, feed);
    }

    /** Grants the proposed slots on owned runners; their owners do so on the others. */
    public void preallocate() {
        SlotPlanner.propose(feed.current().configuration(), view.runners(), this::baseModelBytes)
                .forEach(this::grant);
    }

    private void grant(SlotPlanner.Proposal proposal) {
        runners.agent(proposal.runner()).ifPresent(agent -> agent.grantSlot(proposal.model()));
    }

    private Optional<Long> baseModelBytes(ModelVersion model) {
        return catalogue.sizes(new LoadKey(model, Optional.empty())).map(LoadSizes::baseBytes);
    }
}
