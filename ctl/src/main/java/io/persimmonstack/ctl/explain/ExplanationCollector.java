package io.persimmonstack.ctl.explain;

import io.persimmonstack.ctl.FleetClient;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.StatusAnswer;
import io.persimmonstack.wire.gen.StatusLine;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects what the coordinators know about a subject: fleet-wide state from the first one that answers, and the
 * history that each node keeps for itself from all members that are not dead.
 */
public final class ExplanationCollector {
    private static final String COLD_CAUSE_ATTRIBUTE = "cold because";

    private ExplanationCollector() {}

    /**
     * Collects the status lines of a subject. A member that does not answer is reported and its history is left out.
     *
     * @param fleet client of the coordinators
     * @param status members of the fleet, as one coordinator reports them
     * @param subject deployment, model, model version or runner
     * @param err stream on which members that do not answer are reported
     * @return the lines, grouped by subject, with the reason for each model version that is cold
     * @throws ProgramException if none of the coordinators in the settings answers
     */
    public static List<StatusLine> collect(FleetClient fleet, StatusAnswer status, String subject, PrintStream err)
            throws ProgramException {
        List<StatusLine> lines = new ArrayList<>(fleet.callFirst(client -> client.explain(subject)));
        status.getMembers().stream()
                .filter(member -> member.getStatus() != MemberStatus.DEAD)
                .sorted(Comparator.comparing(Member::getNode))
                .flatMap(member -> nodeHistory(fleet, member, subject, err).stream())
                .filter(line -> !lines.contains(line))
                .toList()
                .forEach(lines::add);
        return addColdCauses(lines);
    }

    private static List<StatusLine> nodeHistory(FleetClient fleet, Member member, String subject, PrintStream err) {
        try {
            PeerAddress address = PeerAddress.parse(member.getCoordinatorAddress());
            return fleet.callAt(address, client -> client.explain(subject)).stream()
                    .filter(ExplanationCollector::isNodeLocal)
                    .toList();
        } catch (ProgramException e) {
            err.println(member.getNode() + ": no answer, its history is missing: " + e.getMessage());
            return List.of();
        }
    }

    /** Returns whether the line states something that only the answering node knows. */
    private static boolean isNodeLocal(StatusLine line) {
        return Topic.parse(line.getAttribute()).filter(Topic::isNodeLocal).isPresent();
    }

    private static List<StatusLine> addColdCauses(List<StatusLine> lines) {
        List<StatusLine> withCauses = new ArrayList<>();
        for (String subject :
                lines.stream().map(StatusLine::getSubject).distinct().toList()) {
            lines.stream().filter(line -> line.getSubject().equals(subject)).forEach(withCauses::add);
            ColdCause.of(subject, lines)
                    .ifPresent(cause -> withCauses.add(new StatusLine(subject, COLD_CAUSE_ATTRIBUTE, cause.text())));
        }
        return withCauses;
    }
}
