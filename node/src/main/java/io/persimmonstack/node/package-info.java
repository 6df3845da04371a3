/** The node: serves callers, answers the directory and, where elected, plans the loads of all runners. */
package io.persimmonstack.node;
