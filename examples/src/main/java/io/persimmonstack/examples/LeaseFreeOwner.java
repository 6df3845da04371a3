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

/** Becomes the only one who may order a machine, without a lease, and takes a bounded number of places on it. */
public final class LeaseFreeOwner {
    private final RunnerGrants grants;

    private LeaseFreeOwner(RunnerGrants grants) {
        this.grants = grants;
    }

    /** Returns an owner that speaks for one process of a node. */
    public static LeaseFreeOwner of(String node, long incarnation, KvStore store) {
        NodeIdentity self = NodeIdentity.of(node, incarnation);
        GrantCodecs codecs = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
        return new LeaseFreeOwner(RunnerGrants.create(self, store, codecs));
    }

    /**
     * Takes the machine over and a place for the model on it.
     *
     * @param machine machine that refuses orders with an old fencing number
     * @param model model to place
     * @param cap most places of the model anywhere
     * @return what came of it, in words
     * @throws KvException if the service gave no answer; calling again finishes what was begun
     */
    public String place(String machine, ModelVersion model, int cap) throws KvException {
        return switch (grants.acquire(machine, TakeoverEvidence.fencedEngine())) {
            case AcquireResult.Acquired acquired -> {
                sendFirstOrder(machine, acquired.runner().epoch());
                yield placeOn(machine, model, cap);
            }
            case AcquireResult.Refused refused -> "refused: " + refused.reason();
            case AcquireResult.Lost lost -> "lost to " + lost.current().owner();
        };
    }

    private String placeOn(String machine, ModelVersion model, int cap) throws KvException {
        return switch (grants.grant(machine, model, ReplicaCap.of(cap, 1))) {
            case GrantResult.Granted granted ->
                "granted at epoch " + granted.runner().epoch();
            case GrantResult.CapReached reached -> "cap reached";
            case GrantResult.StaleConfiguration stale -> "configuration is stale";
            case GrantResult.NotOwner rejected -> "not the owner: " + rejected.reason();
        };
    }

    /** Stands for an order that carries the epoch, after which the machine refuses all lower ones. */
    private void sendFirstOrder(String machine, long epoch) {
        grants.confirmFenced(machine);
    }
}
