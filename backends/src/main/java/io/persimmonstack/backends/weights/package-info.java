/** Port to the platform's weight store, and its HTTP adapter. */
package io.persimmonstack.backends.weights;
