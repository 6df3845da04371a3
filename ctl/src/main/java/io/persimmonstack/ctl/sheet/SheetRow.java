package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;

/**
 * One deployment as the sheet states it.
 *
 * @param rowNumber row as a spreadsheet numbers it
 * @param deployment the deployment
 */
public record SheetRow(int rowNumber, Deployment deployment) {}
