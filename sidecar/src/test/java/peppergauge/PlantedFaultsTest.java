package peppergauge;

import org.testng.annotations.DataProvider;
import peppergauge.coldstart.PacesLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.overload.OverloadLoad;
import peppergauge.request.SessionsLoad;
import peppergauge.sockets.ClientConnectionsLoad;

/**
 * Sessions, overload control, sockets' places and the paces of a start under random load, as they are and with faults
 * planted in their sources. In no package of theirs, since it knows them all and they know the invariants.
 */
public class PlantedFaultsTest extends UnderRandomLoad {

    private static final int SEEDS = 15;
    private static final int SEEDS_FOR_A_FAULT = 25;

    private static final String SESSIONS = "peppergauge.request.SessionsLoad";
    private static final String OVERLOAD = "peppergauge.overload.OverloadLoad";
    private static final String CLIENTS = "peppergauge.sockets.ClientConnectionsLoad";
    private static final String PACES = "peppergauge.coldstart.PacesLoad";

    public PlantedFaultsTest() {
        super("", "", SEEDS_FOR_A_FAULT);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"sessions", (Loads.Load) SessionsLoad::run, SEEDS},
            {"overload", (Loads.Load) OverloadLoad::run, SEEDS},
            {"clients", (Loads.Load) ClientConnectionsLoad::run, SEEDS},
            {"paces", (Loads.Load) PacesLoad::run, SEEDS},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (!session.answered) {\n                end(session);",
                "if (session != null) {\n                end(session);",
                "a second answer"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                " && session.out == 0 && !session.answered",
                " && session.out == 0",
                "a second answer"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            fail(session, false);\n            forgetIfOver(session);\n",
                "            fail(session, false);\n",
                "sessions are held that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (attempt.ended || attempt.begun) {",
                "if (attempt.begun) {",
                "more ends than attempts"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        out.remove(attempt);\n",
                "",
                "attempts of sessions that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "open.containsKey(id) || ended.contains(id) || ",
                "",
                "one id for two open sessions"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "session.answered && session.out == 0 && open.remove",
                "session.answered && open.remove",
                "attempts of sessions that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        session.attempts.forEach(this::takeBack);\n",
                "",
                "a first byte for"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        if (session == null || session.answered) {\n            return;",
                "        if (session == null) {\n            return;",
                "an attempt for"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "Math.min(now + send.timeoutMs(), deadlineMs)",
                "now + send.timeoutMs()",
                "after the deadline of"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "after(opening.deadlineMs() - now,",
                "after(opening.deadlineMs() - now + 20,",
                "no answer by its deadline"
            },
            {SESSIONS, "request/RequestDispatcher.java", "arriving.get() > 0 || ", "", "idle while answers are owed"},
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "!open.isEmpty() || overload.order()",
                "overload.order()",
                "idle while answers are owed"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "                overload.order().arrived(id, waiting);\n",
                "",
                "no answer by its deadline"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            whenIdle.add(task);\n",
                "            whenIdle.clear();\n            whenIdle.add(task);\n",
                "a caller is not told"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            post(() -> ended(attempt, new Backend.Result(Outcome.BROKEN)));\n",
                "",
                "waits for an attempt that cannot end"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        attempt.exchange = NOTHING_OUT;\n",
                "",
                "exchange\" is null"
            },
            {
                OVERLOAD,
                "overload/Accepts.java",
                "tokens = Math.min(tokens, perS * BURST_S);\n        assert",
                "assert",
                "accepts"
            },
            {OVERLOAD, "overload/Accepts.java", "Math.max(TRICKLE_PER_S, ", "Math.max(0, ", "accepts"},
            {
                OVERLOAD,
                "overload/Admission.java",
                "Math.max(LEAST_SHARE, Math.min(1, share))",
                "Math.min(1, share)",
                "a share that is none"
            },
            {OVERLOAD, "overload/Admission.java", "(shed[rank] + 1) % TRIAL_EVERY", "shed[rank] + 1", "no trial"},
            {OVERLOAD, "overload/Levels.java", "        all /= 2;\n", "", "the levels' sum"},
            {
                OVERLOAD,
                "overload/Rounds.java",
                "earliestMs = selectedMs;\n        }\n        endedMs",
                "earliestMs = nowMs + 1;\n        }\n        endedMs",
                "after they were read"
            },
            {OVERLOAD, "overload/RetryAfter.java", "Math.min(boundMs, leftMs)", "boundMs", "to come back after"},
            {
                OVERLOAD,
                "overload/Order.java",
                "return sessions.remove(id);",
                "ids.remove(id); ids.pollFirst();" + " return sessions.remove(id);",
                "wait"
            },
            {
                OVERLOAD,
                "overload/Claims.java",
                "state.served > 0 || state.sessions > 0 ? null : Kind.BROKEN_OFF",
                "state.served > 0 ? null : Kind.BROKEN_OFF",
                "do not add up"
            },
            {
                OVERLOAD,
                "overload/Claims.java",
                "            list(connection, state, null, 0);\n        }\n    }\n\n    /**\n"
                        + "     * The connection to close now",
                "        }\n    }\n\n    /**\n     * The connection to close now",
                "\"listed\""
            },
            {
                CLIENTS,
                "sockets/SocketLimit.java",
                "closedThisRound.getAndSet(0)",
                "closedThisRound.get()",
                "more sockets are free than the limit"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "        sockets.onSocketClosed();\n",
                "        sockets.onSocketClosed();\n" + "        sockets.onSocketClosed();\n",
                "closed twice"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "for (EvictableConnection spare = eviction.surplus",
                "onClosed(connection); for (EvictableConnection spare = eviction.surplus",
                "ended twice"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (ended.size() > IDS_KEPT) {",
                "if (ended.isEmpty()) {",
                "without bound"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "ANSWER_SHARE = 0.55",
                "ANSWER_SHARE = 1.4",
                "asked for anew only after"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "LONGEST_SILENCE_MS = 2_900",
                "LONGEST_SILENCE_MS = 3_200",
                "of 3100.0"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "        slowMs *= REMEMBERED_BY_SIGN;\n",
                "",
                "still waited for"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(afterMs, REMEMBERED",
                "Math.min(afterMs, REMEMBERED",
                "asked again after"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(CROWDED_MS, 2 * slowMs)",
                "slowMs",
                "asked again after"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "between(LEAST_SILENCE_MS, LONG",
                "between(leastBackoffMs, LONG",
                "a silence of"
            },
            {
                PACES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.min(withinMs, BACKOFF_TIMES",
                "Math.max(withinMs, BACKOFF_TIMES",
                "a pause of"
            },
            {
                PACES,
                "coldstart/SharedServicePollPolicy.java",
                "        waitedMs = Math.min(waitedMs, silence);\n",
                "",
                "after the last"
            },
            {
                PACES,
                "coldstart/SharedServicePollPolicy.java",
                "return pauseMs(0);",
                "return pauseMs(waitedMs);",
                "after the last"
            },
            {PACES, "coldstart/SharedServicePollPolicy.java", "(0.5 + random", "(0.3 + random", "of turns of"},
            {
                PACES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(settings.longestAnswerMs(), ANSWER_TIMES * answerMs)",
                "ANSWER_TIMES * answerMs",
                "to wait"
            },
            {
                PACES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(settings.longestPauseMs(), PAUSE_TIMES * pauseMs)",
                "PAUSE_TIMES * pauseMs",
                "a pause of"
            },
            {
                PACES,
                "coldstart/SharedServicePollPolicy.java",
                "        pauseMs = LEAST_PAUSE_MS;\n",
                "        pauseMs = 4 * LEAST_PAUSE_MS;\n",
                "a long pause"
            },
            {PACES, "coldstart/ReadinessPolicy.java", "servers > 0 || !whole &&", "servers > 0 ||", "an empty list"},
            {
                PACES,
                "coldstart/ReadinessPolicy.java",
                "!whole && serversKnown > 0;",
                "!whole;",
                "ready by news of no server"
            },
            {
                PACES,
                "coldstart/ReadinessPolicy.java",
                "serversKnown > 0 ? patienceMs : longestMs;",
                "serversKnown > 0 ? 2 * longestMs : longestMs;",
                "ready only after"
            },
        };
    }
}
