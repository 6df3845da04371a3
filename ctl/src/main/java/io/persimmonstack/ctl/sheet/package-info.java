/** Sheets, the CSV files in which planners edit deployments: reading, validation, comparison and writing. */
package io.persimmonstack.ctl.sheet;
