package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The headers of one HTTP message, in order.
 *
 * <p>Immutable and thread safe. Names are compared without regard to case.
 */
public final class HttpHeaders {
    private static final HttpHeaders EMPTY = new HttpHeaders(List.of());
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings",
                    "expect",
                    "content-length");

    private static final Splitter LIST =
            Splitter.on(',').trimResults(CharMatcher.whitespace()).omitEmptyStrings();

    private final List<String> mNamesAndValues;

    private HttpHeaders(List<String> namesAndValues) {
        mNamesAndValues = namesAndValues;
    }

    /** Returns an empty set of headers. */
    public static HttpHeaders empty() {
        return EMPTY;
    }

    /**
     * Creates headers from alternating names and values.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public static HttpHeaders of(String... namesAndValues) {
        checkArgument(
                namesAndValues.length % 2 == 0,
                "odd number of names and values: %s",
                namesAndValues.length);
        return new HttpHeaders(List.of(namesAndValues));
    }

    /** Creates a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the first value of a header. */
    public Optional<String> first(String name) {
        for (int i = 0; i < mNamesAndValues.size(); i += 2) {
            if (mNamesAndValues.get(i).equalsIgnoreCase(name)) {
                return Optional.of(mNamesAndValues.get(i + 1));
            }
        }
        return Optional.empty();
    }

    /** Returns the first value of a header as a number, or {@code fallback} if there is none. */
    public long firstLong(String name, long fallback) {
        Optional<String> text = first(name);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            return Long.parseLong(text.get().strip());
        } catch (NumberFormatException ignored) {
            return fallback;
        }
    }

    /** Calls {@code sink} for each header in order. */
    public void forEach(BiConsumer<String, String> sink) {
        for (int i = 0; i < mNamesAndValues.size(); i += 2) {
            sink.accept(mNamesAndValues.get(i), mNamesAndValues.get(i + 1));
        }
    }

    /**
     * Returns the end-to-end headers, without {@code Content-Length}. This excludes all hop-by-hop
     * headers, including those that {@code Connection} lists.
     */
    public HttpHeaders endToEnd() {
        return endToEnd(Set.of());
    }

    /**
     * Returns the end-to-end headers, as above.
     *
     * @param unlistable names, in lower case, that are end-to-end headers even if {@code
     *     Connection} lists them
     */
    public HttpHeaders endToEnd(Set<String> unlistable) {
        Set<String> listed = connectionTokens();
        Builder endToEnd = builder();
        forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(Locale.ROOT);
                    boolean isListed = listed.contains(lower) && !unlistable.contains(lower);
                    if (!HOP_BY_HOP.contains(lower) && !isListed) {
                        endToEnd.add(name, value);
                    }
                });
        return endToEnd.build();
    }

    /**
     * Returns whether a header concerns one connection only, or determines where a message ends.
     */
    static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the names that all {@code Connection} headers together list, in lower case. */
    private Set<String> connectionTokens() {
        Set<String> tokens = new HashSet<>();
        forEach(
                (name, value) -> {
                    if (name.equalsIgnoreCase("Connection")) {
                        LIST.split(value.toLowerCase(Locale.ROOT)).forEach(tokens::add);
                    }
                });
        return tokens;
    }

    /** Collects headers. Not thread safe. */
    public static final class Builder {
        private final List<String> mNamesAndValues = new ArrayList<>();

        private Builder() {}

        /** Adds a header. */
        public Builder add(String name, String value) {
            mNamesAndValues.add(name);
            mNamesAndValues.add(value);
            return this;
        }

        /** Replaces all headers of that name. */
        public Builder set(String name, String value) {
            for (int i = mNamesAndValues.size() - 2; i >= 0; i -= 2) {
                if (mNamesAndValues.get(i).equalsIgnoreCase(name)) {
                    mNamesAndValues.subList(i, i + 2).clear();
                }
            }
            return add(name, value);
        }

        /** Adds all of the given headers. */
        public Builder addAll(HttpHeaders headers) {
            headers.forEach(this::add);
            return this;
        }

        /** Returns the headers. */
        public HttpHeaders build() {
            return new HttpHeaders(List.copyOf(mNamesAndValues));
        }
    }
}
