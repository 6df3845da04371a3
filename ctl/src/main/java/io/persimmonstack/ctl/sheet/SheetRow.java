package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;

/**
 * Row of a sheet.
 *
 * @param rowNumber row as a spreadsheet numbers it
 * @param deployment deployment that the row defines
 */
public record SheetRow(int rowNumber, Deployment deployment) {}
