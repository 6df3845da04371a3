package io.persimmonstack.router.crash;

import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.coordination.crash.PartAnswers;
import io.persimmonstack.coordination.crash.ProcessEnd;
import io.persimmonstack.coordination.crash.WaitingPrompt;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.PartAnswersRecord;
import io.persimmonstack.wire.gen.ProcessEndRecord;
import io.persimmonstack.wire.gen.WaitingPromptRecord;

/** Converts reports to and from the Thrift records in which they are sent and stored. */
public final class CrashReportMessages {
    private CrashReportMessages() {}

    /** Returns the record of a report. */
    public static CrashReportRecord toMessage(CrashReport report) {
        return new CrashReportRecord(
                report.reporter(),
                report.number(),
                report.ends().stream().map(CrashReportMessages::toMessage).toList(),
                report.answers().stream()
                        .map(answers -> new PartAnswersRecord(answers.part(), answers.before(), answers.since()))
                        .toList());
    }

    private static ProcessEndRecord toMessage(ProcessEnd end) {
        return new ProcessEndRecord(
                end.process(),
                end.endedAtMs(),
                end.prompts().stream()
                        .map(prompt -> new WaitingPromptRecord(prompt.parts(), prompt.sentAtMs()))
                        .toList());
    }

    /** Returns the report in a record. */
    public static CrashReport fromMessage(CrashReportRecord message) {
        return new CrashReport(
                message.getReporter(),
                message.getNumber(),
                message.getEnds().stream().map(CrashReportMessages::fromMessage).toList(),
                message.getAnswers().stream()
                        .map(answers -> new PartAnswers(answers.getPart(), answers.getBefore(), answers.getSince()))
                        .toList());
    }

    private static ProcessEnd fromMessage(ProcessEndRecord message) {
        return new ProcessEnd(
                message.getProcess(),
                message.getEndedAtMs(),
                message.getPrompts().stream()
                        .map(prompt -> new WaitingPrompt(prompt.getParts(), prompt.getSentAtMs()))
                        .toList());
    }

    /** Returns the bytes in which a report is stored. */
    public static byte[] encode(CrashReport report) {
        return ThriftBytes.encode(toMessage(report));
    }

    /**
     * Decodes a stored report.
     *
     * @throws KvCorruptException if the bytes are not a report
     */
    public static CrashReport decode(byte[] stored) throws KvCorruptException {
        return fromMessage(ThriftBytes.decode(stored, new CrashReportRecord()));
    }
}
