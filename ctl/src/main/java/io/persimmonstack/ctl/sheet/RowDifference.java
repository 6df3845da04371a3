package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import java.util.List;

/** Difference between a sheet and the active configuration in one deployment. */
public sealed interface RowDifference {
    /** Returns the name of the deployment. */
    String deployment();

    /** Returns the difference as one line for operators. */
    String message();

    /**
     * The sheet adds the deployment.
     *
     * @param newDeployment deployment to be added
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
     * The sheet lacks a deployment of the active configuration, so applying the sheet removes it.
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
     * The deployment was changed after the sheet was exported, and the sheet differs from that change. A sheet with a
     * conflict must not be applied.
     *
     * @param deployment name of the deployment
     * @param changedInVersion configuration version that last changed the deployment
     * @param exportedFromVersion configuration version that the sheet was exported from
     * @param sheetChange change that applying the sheet would make
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
