package org.ebonyrun.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.WorkspaceName;

/**
 * The workspaces of one version of the operator's configuration, with the digests of their keys.
 *
 * <p>Serves deployments with thousands of keys, every call of which looks one up. Invariant: a key
 * belongs to at most one workspace.
 *
 * <p>Immutable and thread safe.
 */
public final class Workspaces {
    private static final Workspaces NONE = new Workspaces(false, Map.of(), new BitSet(), Map.of());
    // Characters that can't be part of a key where a header names it.
    private static final String DELIMITERS = " \t,;=:\"'&?/()<>[]{}";

    private final boolean mEnabled;
    private final Map<KeyDigest, Workspace> mByKey;
    private final BitSet mKeyLengths;
    private final Map<WorkspaceName, Workspace> mByName;

    private Workspaces(
            boolean enabled,
            Map<KeyDigest, Workspace> byKey,
            BitSet keyLengths,
            Map<WorkspaceName, Workspace> byName) {
        mEnabled = enabled;
        mByKey = byKey;
        mKeyLengths = keyLengths;
        mByName = byName;
    }

    /** Returns the table of a configuration without workspaces, in which no call needs a key. */
    public static Workspaces none() {
        return NONE;
    }

    /** Creates a builder of a table with which calls need keys, even if it stays empty. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether the configuration has workspaces, so that calls need keys. */
    public boolean isEnabled() {
        return mEnabled;
    }

    /** Returns the workspace that holds a key; empty if none does. */
    public Optional<Workspace> find(KeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /** Returns the workspace of a name; empty if there is none. */
    public Optional<Workspace> get(WorkspaceName name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns the number of workspaces. */
    public int size() {
        return mByName.size();
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return mByKey.size();
    }

    /** Returns whether a text is a key, or contains one between delimiters or quotes. */
    public boolean mentionsKey(String text) {
        if (mByKey.isEmpty()) {
            return false;
        }
        if (isKey(text)) {
            return true;
        }
        int begin = 0;
        for (int i = 0; i <= text.length(); i++) {
            if (i == text.length() || DELIMITERS.indexOf(text.charAt(i)) >= 0) {
                // The whole text has been looked up.
                boolean part = i > begin && i - begin < text.length();
                if (part && mKeyLengths.get(i - begin) && isKey(text.substring(begin, i))) {
                    return true;
                }
                begin = i + 1;
            }
        }
        return false;
    }

    private boolean isKey(String text) {
        return mKeyLengths.get(text.length()) && mByKey.containsKey(KeyDigest.of(text));
    }

    /** Collects workspaces. Not thread safe. */
    public static final class Builder {
        private final Map<KeyDigest, Workspace> mByKey = new HashMap<>();
        private final Map<WorkspaceName, Workspace> mByName = new HashMap<>();
        private final BitSet mKeyLengths = new BitSet();

        private Builder() {}

        /**
         * Adds a workspace.
         *
         * @throws IllegalArgumentException if the name was added before, or if a key is empty or
         *     belongs to another workspace; the message never shows a key
         */
        public Builder add(Workspace workspace, Collection<String> keys) {
            Workspace namesake = mByName.putIfAbsent(workspace.name(), workspace);
            checkArgument(namesake == null, "workspace '%s' occurs twice", workspace.name());
            for (String key : keys) {
                checkArgument(!key.isBlank(), "workspace '%s' has an empty key", workspace.name());
                Workspace holder = mByKey.putIfAbsent(KeyDigest.of(key), workspace);
                checkArgument(
                        holder == null || holder.equals(workspace),
                        "workspaces '%s' and '%s' have the same key",
                        holder == null ? "" : holder.name(),
                        workspace.name());
                mKeyLengths.set(key.length());
            }
            return this;
        }

        /** Returns the table. */
        public Workspaces build() {
            return new Workspaces(
                    true, new HashMap<>(mByKey), (BitSet) mKeyLengths.clone(), Map.copyOf(mByName));
        }
    }
}
