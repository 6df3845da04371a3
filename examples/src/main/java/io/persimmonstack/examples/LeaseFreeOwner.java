package io.persimmonstack.examples;

import io.persimmonstack.coordination.grant.AcquireResult;
import io.persimmonstack.coordination.grant.GrantCodecs;
import io.persimmonstack.coordination.grant.GrantResult;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;

/** Acquires the exclusive right to send orders to a runner, by epochs instead of a lease, and grants it slots. */
public final class LeaseFreeOwner {
    private final RunnerGrants grants;

    private LeaseFreeOwner(RunnerGrants grants) {
        this.grants = grants;
    }

    /**
     * Creates an owner for one process of a node.
     *
     * @param node name of the node
     * @param incarnation number that is higher than those of the earlier processes of the node
     * @param store key-value service that keeps the records
     * @return the owner
     */
    public static LeaseFreeOwner of(String node, long incarnation, KvStore store) {
        NodeIdentity self = NodeIdentity.of(node, incarnation);
        GrantCodecs codecs = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
        return new LeaseFreeOwner(RunnerGrants.create(self, store, codecs));
    }

    /**
     * Acquires the runner, if necessary from its previous owner, and grants it a slot for the model.
     *
     * @param runner runner that refuses orders with an epoch lower than the highest it has accepted
     * @param model model version that the slot is for
     * @param cap maximum number of slots of the model in the fleet
     * @return description of the outcome
     * @throws KvException if the service did not answer; a repeated call completes the operation
     */
    public String acquireAndGrant(String runner, ModelVersion model, int cap) throws KvException {
        return switch (grants.acquire(runner, TakeoverEvidence.fencedEngine())) {
            case AcquireResult.Acquired acquired -> {
                sendFirstOrder(runner, acquired.runner().epoch());
                yield grantSlot(runner, model, cap);
            }
            case AcquireResult.Refused refused -> "refused: " + refused.reason();
            case AcquireResult.Lost lost -> "lost to " + lost.current().owner();
        };
    }

    private String grantSlot(String runner, ModelVersion model, int cap) throws KvException {
        return switch (grants.grant(runner, model, ReplicaCap.of(cap, 1))) {
            case GrantResult.Granted granted ->
                "granted at epoch " + granted.runner().epoch();
            case GrantResult.CapReached reached -> "cap reached";
            case GrantResult.StaleConfiguration stale -> "configuration is stale";
            case GrantResult.NotOwner notOwner -> "not the owner: " + notOwner.reason();
        };
    }

    /** Stands in for an order that carries the epoch; after it, the runner refuses orders with lower epochs. */
    private void sendFirstOrder(String runner, long epoch) {
        grants.confirmFenced(runner);
    }
}
