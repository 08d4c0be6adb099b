package org.ebonyrun.daemon.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.ebonyrun.base.json.JsonTrees;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Samples whose reward calls get server errors. Guards against samples that are abandoned before
 * their reward call has failed as often as its route allows, which is three times here.
 */
class ScoreFailureTest extends HostedFixture {
    // Review case 10.
    @ParameterizedTest
    @CsvSource({
        "500 500 504, done",
        "504 500 500, done",
        "500 502 501 500, done",
        "504 504 504 504 504 504, done",
        "500 504 500 504 500 504, dead",
        "500 500 500, dead"
    })
    void aSampleIsAbandonedOnceItsRewardCallHasFailedOftenEnough(String answers, String state) {
        List<Integer> statuses = Arrays.stream(answers.split(" ")).map(Integer::valueOf).toList();
        mDeployment.endpoint().respondNext("score-1", statuses);
        send(mFirstFront, "POST", mDeployment.stepPath(), "step", mDeployment.stepBody());

        for (String line : readResults(mFirstFront, "step").split("\n")) {
            JsonNode result = JsonTrees.read(line.getBytes(StandardCharsets.UTF_8));
            boolean first = result.path("id").asText().equals("sample-1");
            assertThat(result.path("state").asText(), is(first ? state : "done"));
        }
    }
}
