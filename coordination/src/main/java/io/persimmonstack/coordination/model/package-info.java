/** Identifiers shared by the coordination records. */
package io.persimmonstack.coordination.model;
