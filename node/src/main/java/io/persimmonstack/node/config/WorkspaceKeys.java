package io.persimmonstack.node.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Workspaces of one configuration and their keys. Only the SHA-256 hashes of the keys are kept, so that no key can be
 * read from a heap dump. Immutable.
 */
public final class WorkspaceKeys {
    private final List<Workspace> workspaces;
    private final List<Entry> entries;

    private WorkspaceKeys(List<Workspace> workspaces, List<Entry> entries) {
        this.workspaces = List.copyOf(workspaces);
        this.entries = List.copyOf(entries);
    }

    private record Entry(byte[] hash, Workspace workspace) {}

    /** Collects workspaces and keys. */
    public static final class Builder {
        private final List<Workspace> workspaces = new ArrayList<>();
        private final List<Entry> entries = new ArrayList<>();

        private Builder() {}

        /** Adds a workspace; returns false if there is one of that name already. */
        public boolean addWorkspace(Workspace workspace) {
            if (workspaces.stream().anyMatch(known -> known.name().equals(workspace.name()))) {
                return false;
            }
            return workspaces.add(workspace);
        }

        /** Adds a key of a workspace; returns false if it is a key of this or of another workspace already. */
        public boolean addKey(Workspace workspace, String key) {
            byte[] hash = hash(key);
            if (search(entries, hash).isPresent()) {
                return false;
            }
            return entries.add(new Entry(hash, workspace));
        }

        /** Returns the workspaces and keys added so far. */
        public WorkspaceKeys build() {
            return new WorkspaceKeys(workspaces, entries);
        }
    }

    /** Returns a builder without workspaces. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the workspace of a key; empty if no workspace has it. */
    public Optional<Workspace> find(String key) {
        return search(entries, hash(key));
    }

    /** Compares all hashes, each in constant time, so that the duration tells nothing about the keys. */
    private static Optional<Workspace> search(List<Entry> entries, byte[] hash) {
        Workspace found = null;
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.hash(), hash)) {
                found = entry.workspace();
            }
        }
        return Optional.ofNullable(found);
    }

    private static byte[] hash(String key) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns all workspaces. */
    public List<Workspace> workspaces() {
        return workspaces;
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return entries.size();
    }
}
