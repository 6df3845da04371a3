package io.persimmonstack.ctl.explain;

import io.persimmonstack.ctl.Fleet;
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
public final class FleetExplanation {
    private static final String COLD_BECAUSE = "cold because";

    private FleetExplanation() {}

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
    public static List<StatusLine> of(Fleet fleet, StatusAnswer status, String subject, PrintStream err)
            throws ProgramException {
        List<StatusLine> lines = new ArrayList<>(fleet.ask(client -> client.explain(subject)));
        status.getMembers().stream()
                .filter(member -> member.getStatus() != MemberStatus.DEAD)
                .sorted(Comparator.comparing(Member::getNode))
                .flatMap(member -> historyAt(fleet, member, subject, err).stream())
                .filter(line -> !lines.contains(line))
                .toList()
                .forEach(lines::add);
        return withCauses(lines);
    }

    private static List<StatusLine> historyAt(Fleet fleet, Member member, String subject, PrintStream err) {
        try {
            PeerAddress address = PeerAddress.parse(member.getCoordinatorAddress());
            return fleet.askAt(address, client -> client.explain(subject)).stream()
                    .filter(FleetExplanation::isOfOneNode)
                    .toList();
        } catch (ProgramException e) {
            err.println(member.getNode() + ": no answer, its history is missing: " + e.getMessage());
            return List.of();
        }
    }

    private static boolean isOfOneNode(StatusLine line) {
        return Topic.parse(line.getAttribute()).filter(Topic::isNodeLocal).isPresent();
    }

    private static List<StatusLine> withCauses(List<StatusLine> lines) {
        List<StatusLine> all = new ArrayList<>();
        for (String subject :
                lines.stream().map(StatusLine::getSubject).distinct().toList()) {
            lines.stream().filter(line -> line.getSubject().equals(subject)).forEach(all::add);
            ColdCause.of(subject, lines)
                    .ifPresent(cause -> all.add(new StatusLine(subject, COLD_BECAUSE, cause.text())));
        }
        return all;
    }
}
