/** Client of the platform's weight store, which holds the checkpoints and adapters of all models. */
package io.persimmonstack.backends.weights;
