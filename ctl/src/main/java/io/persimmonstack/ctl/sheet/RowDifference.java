package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import java.util.List;

/** What a sheet changes about one deployment. */
public sealed interface RowDifference {
    /** Returns the name of the deployment. */
    String deployment();

    /** Returns the difference on one line. */
    String message();

    /**
     * The sheet adds the deployment.
     *
     * @param newDeployment deployment as in the sheet
     */
    record Added(Deployment newDeployment) implements RowDifference {
        @Override
        public String deployment() {
            return newDeployment.name();
        }

        @Override
        public String message() {
            return "+ " + deployment() + ": " + newDeployment.model() + ", replica_cap " + newDeployment.replicaCap();
        }
    }

    /**
     * The sheet no longer has the deployment.
     *
     * @param deployment name of the deployment
     */
    record Removed(String deployment) implements RowDifference {
        @Override
        public String message() {
            return "- " + deployment;
        }
    }

    /**
     * The sheet changes the deployment.
     *
     * @param deployment name of the deployment
     * @param cells changed cells, each as {@code column: old -> new}
     */
    record Changed(String deployment, List<String> cells) implements RowDifference {
        @Override
        public String message() {
            return "~ " + deployment + ": " + String.join(", ", cells);
        }
    }

    /**
     * The deployment changed after the sheet was exported, and the sheet says something else; nothing may be applied.
     *
     * @param deployment name of the deployment
     * @param changedInVersion version that changed it
     * @param exportedFromVersion version that the sheet was exported from
     * @param sheetChange what the sheet would do
     */
    record Conflict(String deployment, long changedInVersion, long exportedFromVersion, RowDifference sheetChange)
            implements RowDifference {
        @Override
        public String message() {
            return "! " + deployment + ": changed in version " + changedInVersion + ", after version "
                    + exportedFromVersion + " that the sheet was exported from; the sheet would do: "
                    + sheetChange.message();
        }
    }
}
