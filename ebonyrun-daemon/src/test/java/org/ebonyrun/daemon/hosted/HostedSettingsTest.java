package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalDouble;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.workspace.AdmissionPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class HostedSettingsTest {
    static final String COMPLETE_SETTINGS =
            String.join(
                    "\n",
                    "role: hosted-entry",
                    "vm: edge-1",
                    "failure_domain: hall-a",
                    "listen: {front: \"10.1.0.35:8144\", ready: \"10.1.0.35:8140\","
                            + " metrics: \"10.1.0.35:9464\"}",
                    "store: \"10.200.1.7:8142\"",
                    "first_start: true",
                    "limits: {order_quiet: 500ms, grace: 8s, keep_results: 120s, config_within: 2s,"
                            + " leaving_within: 2s, contact_within: 3s}");

    private static final String DUTIES =
            "duties: {address: \"10.200.0.163:8346\", names: \"usage,scale\", calls: 50.0,"
                    + " lease: 3000ms, fenced: true, usage_window: 5s, usage_late: 7.5s}";

    @Test
    void parsesCompleteSettings() {
        HostedSettings.Parsed parsed = HostedSettings.parse("f", COMPLETE_SETTINGS);

        assertThat(parsed.problems(), is(empty()));
        assertThat(parsed.settings().firstStart(), is(true));
        assertThat(parsed.settings().limits().orderQuietPeriodMillis(), is(500L));
        assertThat(parsed.settings().front().getPort(), is(8144));
        assertThat(HostedMain.isHosted(COMPLETE_SETTINGS), is(true));
        assertThat(HostedMain.isHosted("role: entry"), is(false));
    }

    @Test
    void reloadChangesOnlyTheLimits() {
        HostedSettings before = HostedSettings.parse("f", COMPLETE_SETTINGS).settings();
        String changed =
                COMPLETE_SETTINGS.replace("grace: 8s", "grace: 9s").replace("edge-1", "edge-2");
        HostedSettings after = before.withLimitsOf(HostedSettings.parse("f", changed).settings());

        assertThat(after.limits().gracePeriodMillis(), is(9_000L));
        assertThat(after.vm(), is(before.vm()));
        assertThat(after.isSameExceptLimits(before), is(true));
        assertThat(
                after.isSameExceptLimits(HostedSettings.parse("f", changed).settings()), is(false));
    }

    @ParameterizedTest
    @CsvSource({"0%, 0", "5%, 0.05", "0.5%, 0.005", "50%, 0.5"})
    void extraWorkIsAShareThatAReloadChanges(String text, double share) {
        HostedSettings before = HostedSettings.parse("f", COMPLETE_SETTINGS).settings();
        HostedSettings.Parsed parsed =
                HostedSettings.parse(
                        "f",
                        COMPLETE_SETTINGS.replace("grace: 8s", "grace: 8s, extra_work: " + text));

        assertThat(parsed.problems(), is(empty()));
        assertThat(before.limits().extraWork(), is(OptionalDouble.empty()));
        assertThat(
                before.withLimitsOf(parsed.settings()).limits().extraWork(),
                is(OptionalDouble.of(share)));
    }

    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void mechanismIsEnabledUnlessDisabled(Mechanism mechanism) {
        String off = COMPLETE_SETTINGS + "\npolicy: {" + mechanism.settingKey() + ": false}";
        HostedSettings.Parsed parsed = HostedSettings.parse("f", off);
        HostedSettings all = HostedSettings.parse("f", COMPLETE_SETTINGS).settings();
        String on = off.replace("false", "true");

        assertThat(all.policy(), is(Policy.ALL));
        assertThat(HostedSettings.parse("f", on).settings().policy(), is(Policy.ALL));
        assertThat(parsed.problems(), is(empty()));
        assertThat(parsed.settings().policy(), is(Policy.ALL.without(mechanism)));
        // A reload must not change the policy.
        assertThat(all.withLimitsOf(parsed.settings()).policy(), is(Policy.ALL));
        assertThat(all.isSameExceptLimits(parsed.settings()), is(false));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "vm: edge-1 | vm: '' | vm",
                "grace: 8s | grace: soon | grace",
                "config_within: 2s | config_within: 0s | config_within",
                "grace: 8s | heartbeat: 0ms | limits.heartbeat: is not above zero",
                "grace: 8s | extra_work: 0.05 | limits.extra_work: '0.05' is not a percentage",
                "grace: 8s | extra_work: 51% | limits.extra_work: '51%' is more than 50%",
                "grace: 8s | extra_work: -1% | limits.extra_work: '-1%' is not a percentage",
                "10.200.1.7:8142 | nowhere | store",
                "first_start: true | extra: 1 | extra",
                "first_start: true | policy: {haste: false} | f:6: policy.haste: unknown key",
                "first_start: true | policy: {moves: 'no'} | policy.moves: not true or false: 'no'",
                "first_start: true | policy: moves | policy: must be a mapping"
            })
    void reportsTheFieldOfEachProblem(String part, String replacement, String field) {
        String text = COMPLETE_SETTINGS.replace(part.strip(), replacement.strip());
        HostedSettings.Parsed parsed = HostedSettings.parse("f", text);

        assertThat(parsed.problems().toString(), containsString(field));
    }

    // The users' bench started no process when the template had a limit that the settings lacked.
    @Test
    void knowsEveryKeyOfTheDeployedTemplate() throws IOException {
        String template = Files.readString(Path.of("..", "deploy", "entry.yaml"));
        String rendered =
                template.replaceAll("\\{\\{[#^/][^}]*}}", "").replaceAll("\\{\\{[^}]*}}", "1");
        HostedSettings.Parsed parsed = HostedSettings.parse("f", rendered);

        assertThat(parsed.problems().toString(), not(containsString("unknown key")));
    }

    @Test
    void silenceBeyondItsRangeIsLimitedInsteadOfWrapped() {
        EntryLimits limits =
                new EntryLimits(
                        1,
                        1,
                        1,
                        1,
                        1,
                        1,
                        1,
                        true,
                        3_599_999_996_400_000L,
                        OptionalDouble.empty(),
                        100,
                        1_200);

        assertThat(limits.admission(), is(new AdmissionPolicy(true, Long.MAX_VALUE)));
    }

    @ParameterizedTest
    @CsvSource({
        "'', false, 5000, 0",
        "', strict_keys: true, keys_silence: 1200ms', true, 1200, 0",
        "', strict_keys: false, keys_silence: 4s', false, 4000, 0",
        "', strict_keys: maybe', false, 5000, 1",
        "', keys_silence: 0ms', false, 5000, 1"
    })
    void parsesHowKeysAreChecked(String more, boolean strict, long silenceMillis, int problems) {
        String settings =
                COMPLETE_SETTINGS.replace("contact_within: 3s", "contact_within: 3s" + more);
        HostedSettings.Parsed parsed = HostedSettings.parse("f", settings);
        AdmissionPolicy policy = parsed.settings().limits().admission();

        assertThat(parsed.problems().size(), is(problems));
        assertThat(policy, is(new AdmissionPolicy(strict, Nanos.ofMillis(silenceMillis))));
    }

    @Test
    void noSectionOrNoNameMeansNoDuties() {
        String empty = COMPLETE_SETTINGS + "\nduties: {address: \"10.0.0.1:80\", names: \"\"}";

        assertThat(HostedSettings.parse("f", COMPLETE_SETTINGS).settings().duties(), nullValue());
        assertThat(HostedSettings.parse("f", empty).problems(), is(empty()));
        assertThat(HostedSettings.parse("f", empty).settings().duties(), nullValue());
    }

    @Test
    void parsesDuties() {
        HostedSettings.Parsed parsed = HostedSettings.parse("f", COMPLETE_SETTINGS + "\n" + DUTIES);
        DutySettings duties = parsed.settings().duties();

        assertThat(parsed.problems(), is(empty()));
        assertThat(duties.address().getPort(), is(8346));
        assertThat(duties.has(DutySettings.USAGE), is(true));
        assertThat(duties.has(DutySettings.SCALE), is(true));
        assertThat(duties.has("other"), is(false));
        assertThat(duties.callsPerSecond(), is(50.0));
        assertThat(duties.leaseMillis(), is(3_000L));
        assertThat(duties.fenced(), is(true));
        assertThat(duties.usageWindowMillis(), is(5_000L));
        assertThat(duties.usageLateMillis(), is(7_500L));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "10.200.0.163:8346 | nowhere | duties.address",
                "calls: 50.0 | calls: -1 | duties.calls: not a rate above zero: '-1'",
                "fenced: true | fenced: maybe | duties.fenced: not true or false: 'maybe'",
                "usage_window: 5s | usage_window: 0s | duties.usage_window: is not above zero",
                "usage_window: 5s, | '' | duties.usage_window: is missing",
                "usage_late: 7.5s | usage_late: later | duties.usage_late",
                "lease: 3000ms | leese: 3000ms | duties.leese: unknown key"
            })
    void reportsTheProblemsOfDuties(String part, String replacement, String problem) {
        String text = COMPLETE_SETTINGS + "\n" + DUTIES.replace(part, replacement);

        assertThat(HostedSettings.parse("f", text).problems().toString(), containsString(problem));
    }
}
