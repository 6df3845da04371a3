package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks rules that concern several rows: each deployment occurs once, and all rows of a model have the same cap. */
final class CrossRowValidator {
    private final Map<String, SheetRow> firstRowByDeployment = new HashMap<>();
    private final Map<String, SheetRow> firstRowByModel = new HashMap<>();
    private final List<SheetError> errors = new ArrayList<>();

    private CrossRowValidator() {}

    /** Returns an error for each row that repeats or contradicts an earlier one. */
    static List<SheetError> validate(List<SheetRow> rows) {
        CrossRowValidator validator = new CrossRowValidator();
        rows.forEach(validator::validateRow);
        return validator.errors;
    }

    private void validateRow(SheetRow row) {
        Deployment deployment = row.deployment();
        SheetRow sameName = firstRowByDeployment.putIfAbsent(deployment.name(), row);
        if (sameName != null) {
            boolean duplicate = sameName.deployment().equals(deployment);
            String relation = duplicate ? "the same row as row " : "a different definition of the deployment in row ";
            String expected = "each deployment once; this is " + relation + sameName.rowNumber();
            errors.add(new SheetError(row.rowNumber(), SheetColumn.DEPLOYMENT.title(), deployment.name(), expected));
            return;
        }
        SheetRow sameModel = firstRowByModel.putIfAbsent(deployment.model(), row);
        if (sameModel != null && sameModel.deployment().replicaCap() != deployment.replicaCap()) {
            String expected = sameModel.deployment().replicaCap() + " as in row " + sameModel.rowNumber()
                    + " for model " + deployment.model();
            String cap = Integer.toString(deployment.replicaCap());
            errors.add(new SheetError(row.rowNumber(), SheetColumn.REPLICA_CAP.title(), cap, expected));
        }
    }
}
