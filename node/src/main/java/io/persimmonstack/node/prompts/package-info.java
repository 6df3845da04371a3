/** Keeps requests from runners if a part of their prompts ends the runners' processes, at all nodes. */
package io.persimmonstack.node.prompts;
