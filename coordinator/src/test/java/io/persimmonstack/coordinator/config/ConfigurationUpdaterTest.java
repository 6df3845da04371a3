package io.persimmonstack.coordinator.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import io.persimmonstack.wire.gen.Coordinator;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The watch of the configuration's head, where it ends. */
class ConfigurationUpdaterTest {
    private static final Member<NodeAttributes> SELF = new Member<>(
            "entry-1",
            1,
            1,
            MemberStatus.ALIVE,
            new Locality("z1", "south"),
            "127.0.0.1:1",
            NodeAttributes.withoutRouter());

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 100);
    /** Watchers of the watches opened so far, in order. */
    private final List<KvWatcher> watchers = new ArrayList<>();
    /** Whether a watch ends before the call that opens it has returned. */
    private boolean endBeforeReturn;

    /** Key-value store that passes everything on and ends watches as the test asks. */
    private final KvStore kv = (KvStore) Proxy.newProxyInstance(
            getClass().getClassLoader(), new Class<?>[] {KvStore.class}, (proxy, method, arguments) -> {
                try {
                    Object result = method.invoke(store, arguments);
                    if (result instanceof KvSubscription) {
                        watchers.add((KvWatcher) arguments[2]);
                        if (endBeforeReturn) {
                            endLastWatch();
                        }
                    }
                    return result;
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                }
            });

    private final ConfigurationUpdater updater = ConfigurationUpdater.of(
            ConfigurationFeed.of(FleetConfiguration.empty(), bytes -> Optional.empty(), current -> {}),
            kv,
            ConfigurationStore.of(store, ConfigurationHeadCodec.create(), TimeSource.system()),
            peers);

    @AfterEach
    void close() {
        updater.close();
        peers.close();
    }

    private void updateWatch() {
        updater.updateWatch(SELF, List.of(SELF), 1);
    }

    private void endLastWatch() {
        watchers.getLast().ended(new KvUnavailableException("the connection was closed"));
    }

    /** Failure: a read on a connection that had fallen silent was repeated only an interval later. */
    @Test
    void failedReadIsRepeatedAtOnce() {
        AtomicInteger reads = new AtomicInteger();
        store.intercept((call, key) -> {
            if (reads.incrementAndGet() == 1) {
                throw new KvUnavailableException("no answer");
            }
        });
        updater.refresh();
        assertEquals(2, reads.get());
        updater.refresh();
        assertEquals(3, reads.get());
    }

    @Test
    void openWatchIsKept() {
        updateWatch();
        updateWatch();
        assertEquals(1, watchers.size());
    }

    @Test
    void watchThatHasEndedIsOpenedAgain() {
        updateWatch();
        endLastWatch();
        updateWatch();
        assertEquals(2, watchers.size());
    }

    @Test
    void watchThatEndsWhileItIsOpenedIsOpenedAgain() {
        endBeforeReturn = true;
        updateWatch();
        endBeforeReturn = false;
        updateWatch();
        updateWatch();
        assertEquals(2, watchers.size());
    }

    @Test
    void lateEndOfAnEarlierWatchLeavesTheCurrentOneOpen() {
        updateWatch();
        endLastWatch();
        updateWatch();
        watchers.getFirst().ended(new KvUnavailableException("reported again"));
        updateWatch();
        assertEquals(2, watchers.size());
    }
}
