package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.RecordCodec;

/**
 * Codecs of the stored grant records.
 *
 * @param models codec of model records
 * @param runners codec of runner records
 */
public record GrantCodecs(RecordCodec<ModelRecord> models, RecordCodec<RunnerRecord> runners) {}
