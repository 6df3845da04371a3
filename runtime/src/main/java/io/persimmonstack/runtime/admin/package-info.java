/** HTTP admin port of every program: health, readiness, metrics, traces and additional pages. */
package io.persimmonstack.runtime.admin;
