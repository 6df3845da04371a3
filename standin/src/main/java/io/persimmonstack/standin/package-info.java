/**
 * Program {@code persimmon-standin}: lightweight fakes of the key-value service, host list, weight store, engines and
 * plain services. They speak the real protocols of the platform and are used in tests and the demo.
 */
package io.persimmonstack.standin;
