package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.backends.kv.KvStoreContract;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the key-value store contract against the stand-in, and tests paged lists. */
class KvStandinContractTest extends KvStoreContract {
    private static final int CALLS_PER_SECOND = 100_000;
    private static final int LARGE_ENTRY_COUNT = 70;
    private TestStandins standins;
    private KvStore store;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.start();
        KvOptions options =
                KvOptions.defaults().withTimeouts(20_000, 20_000).withBudget(CALLS_PER_SECOND, CALLS_PER_SECOND, 1_000);
        store = EtcdKvStore.create(standins.connector(), standins.address(Standins.KV), options, new MetricRegistry());
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    @Test
    void listLargerThanOneResponseIsReadInPages() throws KvException {
        byte[] value = new byte[KvStore.MAX_VALUE_BYTES];
        for (int i = 0; i < LARGE_ENTRY_COUNT; i++) {
            store.put("/large/%03d".formatted(i), value, Expectation.absent());
        }
        assertEquals(LARGE_ENTRY_COUNT, store.list("/large/").entries().size());
    }

    @Override
    protected KvStore store() {
        return store;
    }
}
