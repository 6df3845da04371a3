/** Explanations for operators, assembled from the answers of several coordinators and routers. */
package io.persimmonstack.ctl.explain;
