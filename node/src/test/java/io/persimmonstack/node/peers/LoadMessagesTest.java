package io.persimmonstack.node.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.placing.LocalLoad;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLoad;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Demand and estimates for one software version pass between nodes, those without the newer fields included. */
class LoadMessagesTest {
    private static final Optional<String> OLD = Optional.of("old");
    private static final SnapshotDeltas.AnswerId ANSWER = new SnapshotDeltas.AnswerId(1, 1);
    private final FleetView fleet = FleetView.create();

    @Test
    void demandKeepsItsSoftwareVersion() {
        List<ModelDemand> demands = List.of(
                new ModelDemand("s", new ModelRef("m", ""), 1, 2, 3, 4),
                new ModelDemand("s", new ModelRef("m", "x"), 5, 6, 7, 8, OLD));
        NodeLoad message = LoadMessages.toNodeLoad("n", 1, fleet, ANSWER, new LocalLoad(List.of(), demands, List.of()));
        assertEquals(demands, LoadMessages.demands(message));
    }

    @Test
    void estimatesForOneVersionAreApartFromThoseThatAllNodesRead() {
        ModelArrival any = new ModelArrival("s", "m", 5);
        ModelArrival ofOld = new ModelArrival("s", "m", 70, OLD);
        FleetLoad message = LoadMessages.toFleetLoad(
                fleet, new SnapshotDeltas.Delta(ANSWER, List.of()), Set.of(), List.of(ofOld, any));
        assertEquals(1, message.getArrivals().size());
        assertEquals(List.of(any, ofOld), LoadMessages.arrivals(message));
        message.unsetVersionArrivals();
        assertEquals(List.of(any), LoadMessages.arrivals(message));
        assertTrue(message.isSetArrivals());
    }
}
