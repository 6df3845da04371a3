/** Where streams began, so that each of them goes on only at the software version that began it. */
package io.persimmonstack.node.streams;
