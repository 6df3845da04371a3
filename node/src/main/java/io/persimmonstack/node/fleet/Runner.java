package io.persimmonstack.node.fleet;

import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Set;

/**
 * Runner as it describes itself in the store.
 *
 * @param id identifier, which a later process may bear again
 * @param startedMs start of its process, Unix milliseconds; tells processes with one identifier apart
 * @param service service that it belongs to
 * @param address where it listens
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param models models that it holds
 * @param inMemory models with a copy in its host memory
 * @param onDisk models with a copy on its disk
 */
public record Runner(
        String id,
        long startedMs,
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

    /** Returns this runner withModels other models. */
    public Runner withModels(List<HeldModel> other) {
        return new Runner(id, startedMs, service, address, zone, slots, leaving, other, inMemory, onDisk);
    }

    /** Returns whether the other description is of the same process. */
    public boolean isSameProcess(Runner other) {
        return id.equals(other.id) && startedMs == other.startedMs;
    }
}
