/** Attributes of the lines that coordinators answer when operators ask them to explain a model or runner. */
package io.persimmonstack.wire.explain;
