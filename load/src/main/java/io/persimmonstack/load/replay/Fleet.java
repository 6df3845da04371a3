package io.persimmonstack.load.replay;

/**
 * Size and weights of a fleet whose demand is generated.
 *
 * @param name name shown in the tables
 * @param models count of models
 * @param accelerators accelerators of all runners together
 * @param sessionsPerHour sessions an hour over all models, in the busy hours
 * @param coldStartWeight idle accelerator seconds that one second of cold start is worth
 * @param days length of the trace
 */
record Fleet(String name, int models, int accelerators, double sessionsPerHour, double coldStartWeight, int days) {
    static Fleet elGohary() {
        return new Fleet("el-gohary", 40, 32, 24, 60, 28);
    }

    static Fleet donautal() {
        return new Fleet("donautal", 40, 52, 24, 10, 28);
    }

    static Fleet designSize() {
        return new Fleet("design-size", 160, 3_300, 250, 30, 14);
    }
}
