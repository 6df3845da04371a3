/** Port to the orders and the state of model engines, and its HTTP adapter. */
package io.persimmonstack.backends.engine;
