package io.persimmonstack.coordination.kv;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Codec that keeps the values in memory and encodes their positions in a list; equal values get equal bytes. */
public final class FakeCodec<T> implements RecordCodec<T> {
    private final List<T> values = new ArrayList<>();
    private final Map<T, Integer> positions = new HashMap<>();

    @Override
    public synchronized byte[] encode(T value) {
        int position = positions.computeIfAbsent(value, newValue -> values.size());
        if (position == values.size()) {
            values.add(value);
        }
        return Integer.toString(position).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public synchronized T decode(byte[] bytes) {
        return values.get(Integer.parseInt(new String(bytes, StandardCharsets.US_ASCII)));
    }
}
