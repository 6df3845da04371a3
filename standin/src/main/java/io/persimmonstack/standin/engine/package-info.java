/** Stand-in of a model engine: load and unload orders, memory, continuous batching and streamed responses. */
package io.persimmonstack.standin.engine;
