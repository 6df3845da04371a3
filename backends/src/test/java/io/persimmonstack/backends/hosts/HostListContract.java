package io.persimmonstack.backends.hosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Behaviour common to all {@link HostList}s. The tests need a list of the hosts entry-1, runner-1 (checks fencing
 * tokens) and desk-1.
 */
public abstract class HostListContract {
    /** Returns the host list under test. */
    protected abstract HostList list();

    /** Changes the state of a host in the list. */
    protected abstract void setState(String host, HostState state) throws Exception;

    /** Makes the service unavailable. */
    protected abstract void takeDown() throws Exception;

    @Test
    void listsEachHostKindWithItsFields() throws HostListException {
        assertEquals(3, list().hosts().size());
        assertEquals(HostKind.ENTRY, host("entry-1").kind());
        assertEquals("10.0.0.1:17401", host("entry-1").address().toString());
        assertEquals(HostKind.RUNNER, host("runner-1").kind());
        assertTrue(host("runner-1").fencing());
        assertEquals(Optional.of("desk"), host("desk-1").service());
        assertEquals("zone-a", host("desk-1").zone());
        assertEquals("cairo", host("desk-1").region());
    }

    @Test
    void reportsEveryHostState() throws Exception {
        for (HostState state : HostState.values()) {
            setState("runner-1", state);
            assertEquals(state, host("runner-1").state());
            assertEquals(HostState.LIVE, host("desk-1").state());
        }
    }

    @Test
    void readFailsWhileServiceIsDown() throws Exception {
        takeDown();
        assertThrows(HostListException.class, () -> list().hosts());
    }

    private Host host(String name) throws HostListException {
        return list().hosts().stream()
                .filter(host -> host.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
