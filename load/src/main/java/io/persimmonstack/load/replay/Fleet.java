package io.persimmonstack.load.replay;

/**
 * Parameters of a simulated fleet and of the demand that is generated for it.
 *
 * @param name name shown in tables and plots
 * @param models number of models
 * @param accelerators number of accelerators of all runners together
 * @param sessionsPerHour sessions an hour over all models, during the day
 * @param coldStartWeight idle accelerator seconds that cost as much as one second of cold start
 * @param days length of the trace, in days
 */
record Fleet(String name, int models, int accelerators, double sessionsPerHour, double coldStartWeight, int days) {
    /** Returns the fleet of the el-gohary example. */
    static Fleet elGohary() {
        return new Fleet("el-gohary", 40, 32, 24, 60, 28);
    }

    /** Returns the fleet of the donautal example. */
    static Fleet donautal() {
        return new Fleet("donautal", 40, 52, 24, 10, 28);
    }

    /** Returns a fleet of the size that the system is designed for. */
    static Fleet designSize() {
        return new Fleet("design-size", 160, 3_300, 250, 30, 14);
    }
}
