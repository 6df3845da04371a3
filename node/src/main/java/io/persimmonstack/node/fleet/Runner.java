package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Set;

/**
 * Runner, as it is registered in the store.
 *
 * @param id identifier, which a later process may reuse
 * @param startedMs start time of its process, in Unix milliseconds; distinguishes processes with the same identifier
 * @param softwareVersion version of its software, not of the weights; versions have no order
 * @param service service that it belongs to
 * @param address address that it listens on
 * @param zone availability zone
 * @param slots requests that it processes concurrently
 * @param leaving whether it is shutting down and takes no new requests
 * @param models models that are loaded
 * @param inMemory names of models with a copy in its host memory
 * @param onDisk names of models with a copy on its disk
 */
public record Runner(
        String id,
        long startedMs,
        String softwareVersion,
        String service,
        PeerAddress address,
        String zone,
        int slots,
        boolean leaving,
        List<HeldModel> models,
        Set<String> inMemory,
        Set<String> onDisk) {
    /** Copies the collections. */
    public Runner {
        models = List.copyOf(models);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }

    /** Returns a copy with the given loaded models. */
    public Runner withModels(List<HeldModel> newModels) {
        return new Runner(
                id, startedMs, softwareVersion, service, address, zone, slots, leaving, newModels, inMemory, onDisk);
    }

    /** Returns a copy that is shutting down. */
    public Runner asLeaving() {
        return leaving
                ? this
                : new Runner(
                        id, startedMs, softwareVersion, service, address, zone, slots, true, models, inMemory, onDisk);
    }

    /** Returns the process that this entry describes. */
    public RunnerProcess process() {
        return new RunnerProcess(id, startedMs);
    }

    /** Returns whether the other entry describes the same process. */
    public boolean isSameProcess(Runner other) {
        return id.equals(other.id) && startedMs == other.startedMs;
    }
}
