/** Learns how fast each runner answers, compared with the other runners of its service. */
package io.persimmonstack.node.pace;
