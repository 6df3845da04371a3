/** Which runner gets a request, which requests wait, and how often requests are sent again. */
package io.persimmonstack.node.placing;
