package io.persimmonstack.backends.kv;

import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvStore;

class InMemoryKvStoreContractTest extends KvStoreContract {
    private final InMemoryKvStore store = InMemoryKvStore.create();

    @Override
    protected KvStore store() {
        return store;
    }
}
