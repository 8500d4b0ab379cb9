package peppergauge.plugin.rules;

import java.util.List;
import java.util.Optional;
import peppergauge.request.Message;

/** The plug-ins that sessions of one class go through, in the order of the file. */
public record Chain(List<Rule> rules) {

    public Chain {
        rules = List.copyOf(rules);
    }

    /**
     * What is to be done next with a session.
     *
     * @param fault set if the plug-in just heard is at fault, and why
     */
    public record Step(Next next, Where where, Optional<Verdict.Deny> denial, Optional<String> fault) {}

    /** Ask the next plug-in, pass the request on, or deny it. */
    public enum Next {
        ASK,
        PASS,
        DENY
    }

    /**
     * How far a session has come.
     *
     * @param index of the plug-in that is to be asked
     * @param fields the session's headers with all changes so far
     * @param added characters that plug-ins have added
     */
    public record Where(int index, List<Message.Field> fields, int added) {}

    public Step begin(List<Message.Field> fields) {
        return at(new Where(0, fields, 0), Optional.empty());
    }

    /** After the plug-in at {@code where} said so. */
    public Step heard(Where where, Verdict verdict) {
        Rule rule = rules.get(where.index());
        if (verdict instanceof Verdict.Deny denial) {
            return new Step(Next.DENY, where, Optional.of(denial), Optional.empty());
        } else if (verdict instanceof Verdict.Tag tag) {
            int added = where.added() + HeaderRules.added(tag.changes());
            Optional<String> fault = added > HeaderRules.MOST_ADDED
                    ? Optional.of("more headers than fit")
                    : rule.headers().fault(tag.changes());
            return fault.isPresent()
                    ? failed(where, fault.get())
                    : at(
                            new Where(where.index() + 1, HeaderRules.apply(where.fields(), tag.changes()), added),
                            Optional.empty());
        }
        return at(new Where(where.index() + 1, where.fields(), where.added()), Optional.empty());
    }

    /** After the plug-in at {@code where} failed, or could not be asked. */
    public Step failed(Where where, String why) {
        Rule rule = rules.get(where.index());
        if (rule.onFailure() == OnFailure.OPEN) {
            return at(new Where(where.index() + 1, where.fields(), where.added()), Optional.of(why));
        }
        return new Step(
                Next.DENY, where, Optional.of(new Verdict.Deny("closed", rule.closedRetryAfterMs())), Optional.of(why));
    }

    private Step at(Where where, Optional<String> fault) {
        return new Step(where.index() < rules.size() ? Next.ASK : Next.PASS, where, Optional.empty(), fault);
    }
}
