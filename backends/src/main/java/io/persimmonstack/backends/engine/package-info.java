/** Client of the model engines: orders to load and unload models, and the state that engines report. */
package io.persimmonstack.backends.engine;
