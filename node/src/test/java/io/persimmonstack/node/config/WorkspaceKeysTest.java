package io.persimmonstack.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class WorkspaceKeysTest {
    private static final Workspace FIRST = new Workspace("first", 0, Optional.empty());
    private static final Workspace SECOND = new Workspace("second", 1, Optional.empty());

    /** Guards against a lookup that takes a part of a key, or a key that only begins like it, for the key. */
    @Test
    void onlyWholeKeysAreFound() {
        WorkspaceKeys.Builder builder = WorkspaceKeys.builder();
        assertTrue(builder.addWorkspace(FIRST));
        assertTrue(builder.addWorkspace(SECOND));
        assertTrue(builder.addKey(FIRST, "k1"));
        assertTrue(builder.addKey(FIRST, "k2"));
        assertTrue(builder.addKey(SECOND, "k3"));
        WorkspaceKeys keys = builder.build();
        assertEquals(Optional.of(FIRST), keys.find("k1"));
        assertEquals(Optional.of(FIRST), keys.find("k2"));
        assertEquals(Optional.of(SECOND), keys.find("k3"));
        for (String other : new String[] {"", "k", "1", "k11", "K1", " k1", "first"}) {
            assertEquals(Optional.empty(), keys.find(other), other);
        }
        assertEquals(3, keys.keyCount());
    }

    @Test
    void sameNameOrKeyIsNotAddedTwice() {
        WorkspaceKeys.Builder builder = WorkspaceKeys.builder();
        assertTrue(builder.addWorkspace(FIRST));
        assertFalse(builder.addWorkspace(new Workspace("first", 5, Optional.empty())));
        assertTrue(builder.addKey(FIRST, "k1"));
        assertFalse(builder.addKey(FIRST, "k1"));
        assertFalse(builder.addKey(SECOND, "k1"));
        assertEquals(1, builder.build().keyCount());
    }
}
