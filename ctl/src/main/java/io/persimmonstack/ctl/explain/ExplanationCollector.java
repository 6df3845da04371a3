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

/** Joins what the coordinators know of a subject: the fleet's state from one, each node's own history from all. */
public final class ExplanationCollector {
    private static final String COLD_CAUSE_ATTRIBUTE = "cold because";

    private ExplanationCollector() {}

    /**
     * Asks one coordinator for the state and all live ones for their history.
     *
     * @param fleet access to the coordinators
     * @param status members, as one coordinator knows them
     * @param subject deployment, model, model version or runner
     * @param err where coordinators that do not answer are named
     * @return the lines, those of one subject together, with the cause where a model is cold
     * @throws ProgramException if no coordinator answers
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
                    .filter(ExplanationCollector::hasNodeScope)
                    .toList();
        } catch (ProgramException e) {
            err.println(member.getNode() + ": no answer, its history is missing: " + e.getMessage());
            return List.of();
        }
    }

    private static boolean hasNodeScope(StatusLine line) {
        return Topic.parse(line.getAttribute()).filter(Topic::isOfOneNode).isPresent();
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
