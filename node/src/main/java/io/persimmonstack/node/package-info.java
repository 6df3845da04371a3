/** Assembles a node: it serves callers, answers directory lookups and, while elected, plans the model loads. */
package io.persimmonstack.node;
