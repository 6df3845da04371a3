package io.persimmonstack.ctl.command;

/** Groups of commands in the usage help. */
public enum CommandGroup {
    /** Commands that check, compare, apply and export sheets. */
    SHEET("Sheet"),
    /** Commands that show and change nodes, runners and deployments. */
    FLEET("Fleet"),
    /** Commands that set keys of callers and policies of plain services. */
    ACCESS("Callers and services"),
    /** Commands that show single requests. */
    REQUESTS("Requests");

    private final String title;

    CommandGroup(String title) {
        this.title = title;
    }

    /** Returns the heading of the group in the usage help. */
    public String title() {
        return title;
    }
}
