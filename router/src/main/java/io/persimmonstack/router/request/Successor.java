package io.persimmonstack.router.request;

import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.router.admission.Reservation;

/**
 * What the next attempt needs in order to replace one whose target is silent.
 *
 * @param reservation capacity at the target of the next attempt, which may be the silent one
 * @param connection newly opened connection to that target
 */
public record Successor(Reservation reservation, IdleConnection connection) {
    /** Releases the connection, unless it was used, and the reservation. */
    public void close() {
        connection.close();
        reservation.close();
    }
}
