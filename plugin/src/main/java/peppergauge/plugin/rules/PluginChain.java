package peppergauge.plugin.rules;

import java.util.List;
import java.util.Optional;
import peppergauge.request.Message;

/** The plug-ins that are asked about the requests of one class, in the order of the operator file. Immutable. */
public record PluginChain(List<PluginPolicy> policies) {

    /** The denial reason when a plug-in with {@link OnFailure#CLOSED} failed. */
    private static final String CLOSED_REASON = "closed";

    public PluginChain {
        policies = List.copyOf(policies);
    }

    /**
     * What is to be done next with a request.
     *
     * @param denial present for {@link NextAction#DENY}
     * @param fault the reason if the plug-in that was called last failed or returned an invalid verdict
     */
    public record Step(NextAction next, Position position, Optional<Verdict.Deny> denial, Optional<String> fault) {}

    /** Ask the plug-in at the position, forward the request, or deny it. */
    public enum NextAction {
        ASK,
        PASS,
        DENY
    }

    /**
     * The progress of a request in the chain.
     *
     * @param index index of the current plug-in
     * @param headers headers of the request with all changes so far
     * @param addedChars number of characters that plug-ins have added to the headers
     */
    public record Position(int index, List<Message.Field> headers, int addedChars) {

        private Position next() {
            return new Position(index + 1, headers, addedChars);
        }
    }

    /** The first step for a request with these headers. */
    public Step start(List<Message.Field> headers) {
        return stepTo(new Position(0, headers, 0), Optional.empty());
    }

    /** The step after the plug-in at the position returned a verdict. */
    public Step afterVerdict(Position position, Verdict verdict) {
        if (verdict instanceof Verdict.Deny denial) {
            return new Step(NextAction.DENY, position, Optional.of(denial), Optional.empty());
        } else if (verdict instanceof Verdict.Tag tag) {
            return afterTag(position, tag.changes());
        }
        return stepTo(position.next(), Optional.empty());
    }

    private Step afterTag(Position position, List<Verdict.HeaderChange> changes) {
        int addedChars = position.addedChars() + HeaderPolicy.addedChars(changes);
        Optional<String> fault = addedChars > HeaderPolicy.MAX_ADDED_CHARS
                ? Optional.of("plug-ins added " + addedChars + " characters of headers, at most "
                        + HeaderPolicy.MAX_ADDED_CHARS + " are allowed")
                : policies.get(position.index()).headers().violation(changes);
        if (fault.isPresent()) {
            return afterFailure(position, fault.get());
        }
        List<Message.Field> headers = HeaderPolicy.apply(position.headers(), changes);
        return stepTo(new Position(position.index() + 1, headers, addedChars), Optional.empty());
    }

    /** The step after the plug-in at the position failed or could not be called. */
    public Step afterFailure(Position position, String reason) {
        PluginPolicy policy = policies.get(position.index());
        if (policy.onFailure() == OnFailure.OPEN) {
            return stepTo(position.next(), Optional.of(reason));
        }
        Verdict.Deny denial = new Verdict.Deny(CLOSED_REASON, policy.closedRetryAfterMs());
        return new Step(NextAction.DENY, position, Optional.of(denial), Optional.of(reason));
    }

    private Step stepTo(Position position, Optional<String> fault) {
        NextAction next = position.index() < policies.size() ? NextAction.ASK : NextAction.PASS;
        return new Step(next, position, Optional.empty(), fault);
    }
}
