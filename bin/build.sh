# Sourced by the other scripts in this directory.

# build_if_needed ROOT: builds the jars into ebonyrun-client/target/lib if they are missing or older
# than their sources.
build_if_needed() {
    stamp="$1/ebonyrun-client/target/lib/.built"
    if [ -f "$stamp" ]; then
        newer=$(find "$1"/pom.xml "$1"/ebonyrun-*/pom.xml "$1"/ebonyrun-*/src/main \
            -newer "$stamp" -type f -print 2>/dev/null | head -n 1)
        [ -z "$newer" ] && return 0
    fi
    echo "building ebonyrun" >&2
    (cd "$1" && mvn -q -B -DskipTests package) >&2 && touch "$stamp"
}
