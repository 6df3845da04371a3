package io.persimmonstack.standin.weights;

import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.weights.WeightStoreSettings.WeightSettings;
import java.io.IOException;
import java.util.List;

/**
 * Stand-in of the weight store. It serves its catalogue at {@code GET /weights}; its faults slow down or pause all
 * transfers.
 */
public final class WeightStoreStandin implements StandinHandler {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private final WeightTransferSimulator transfers;
    private final FaultInjector faults = FaultInjector.of(FaultType.SLOW, FaultType.DOWN);

    private WeightStoreStandin(WeightTransferSimulator transfers) {
        this.transfers = transfers;
        faults.setChangeListener(this::applyFaults);
    }

    /** Returns a stand-in that serves the catalogue of the given simulator and applies its faults to it. */
    public static WeightStoreStandin of(WeightTransferSimulator transfers) {
        return new WeightStoreStandin(transfers);
    }

    /** Returns the fault injector of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Response of {@code GET /weights}. */
    private record Catalogue(
            double loadsPerSecond, int fullSpeedLoads, int adaptersInFlight, List<CatalogueEntry> weights) {}

    private record CatalogueEntry(String model, String version, String adapter, long bytes, long memoryBytes) {
        private static CatalogueEntry of(WeightSettings weight) {
            return new CatalogueEntry(
                    weight.model(),
                    weight.version(),
                    weight.adapter().orElse(null),
                    weight.bytes(),
                    weight.memoryBytes());
        }
    }

    private record ErrorBody(String error) {}

    @Override
    public void handle(StandinExchange exchange) throws IOException {
        if (faults.serveFaultCommand(exchange)) {
            return;
        }
        faults.failIfDown();
        if (exchange.route().equals("GET /weights")) {
            exchange.respond(OK, catalogue());
        } else {
            exchange.respond(NOT_FOUND, new ErrorBody(exchange.route() + ": expected GET /weights"));
        }
    }

    private void applyFaults() {
        transfers.setSlowdown(
                faults.activeFault(FaultType.SLOW).map(FaultOrder::factor).orElse(1.0));
        transfers.setDown(faults.activeFault(FaultType.DOWN).isPresent());
    }

    private Catalogue catalogue() {
        WeightStoreSettings settings = transfers.settings();
        return new Catalogue(
                settings.loadsPerSecond(),
                settings.fullSpeedLoads(),
                settings.adaptersInFlight(),
                settings.weights().stream().map(CatalogueEntry::of).toList());
    }
}
