package peppergauge.thrift.frontend;

import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.ResponseListener;
import peppergauge.thrift.method.Asked;
import peppergauge.thrift.method.Carried;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Refusal;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.Exceptions;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.Rewriting;

/** One call of a client, from its last byte to its answer; of a oneway call, to the end of its one attempt. */
final class Call implements ResponseListener {

    private final ThriftFrontend owner;
    private final ThriftClientConnection connection;
    private final Form form;
    private final Head head;
    private final boolean oneway;
    private String id;
    private byte[] answer;
    private boolean done;

    /** {@code head}: the call's own; {@code form}: what its client speaks. */
    Call(ThriftFrontend owner, ThriftClientConnection connection, Form form, Head head, boolean oneway) {
        this.owner = owner;
        this.connection = connection;
        this.form = form;
        this.head = head;
        this.oneway = oneway;
    }

    void open(RawMessage call, Method method, Asked asked) {
        id = asked.id() == null ? owner.newId() : asked.id();
        owner.intake()
                .handle(
                        new IncomingRequest(
                                id,
                                method.requestClass(),
                                asked.tenant(),
                                asked.remainingMs(),
                                false,
                                owner.arrivedMs(),
                                Carried.call(call, asked.key())),
                        this);
    }

    /** Whether a session is open for it, or was. */
    boolean isSession() {
        return id != null;
    }

    boolean isOneway() {
        return oneway;
    }

    /** What goes to the client, with its frame; null until it is known. */
    byte[] answer() {
        return answer;
    }

    // ---- The one answer ----

    @Override
    public void onResponse(Message reply) {
        if (oneway) {
            end(null);
            return;
        }
        Encoding encoding = form.encoding();
        end(Rewriting.sequence(Rewriting.into(Carried.raw(reply), encoding), head.sequence()));
    }

    @Override
    public void onRejected(double retryAfterMs) {
        refuse(Refusal.denied(retryAfterMs));
    }

    @Override
    public void onFailed(boolean late) {
        refuse(late ? Refusal.LATE : Refusal.FAILED);
    }

    @Override
    public void onDuplicateId() {
        refuse(Refusal.DUPLICATE);
    }

    /** Nobody waits for a oneway call's answer, and it is sent all the same. */
    @Override
    public boolean isClientWaiting() {
        if (!oneway && !done) {
            connection.detectDisconnect();
        }
        return oneway || !done;
    }

    /** Also what never became a session ends here. */
    void refuse(Refusal refusal) {
        if (oneway) {
            owner.lostOneway(head.name(), refusal.text());
            end(null);
        } else {
            end(Exceptions.answering(head, form.encoding(), refusal.type(), refusal.text()));
        }
    }

    private void end(RawMessage reply) {
        if (!done) {
            done = true;
            answer = reply == null ? new byte[0] : Rewriting.framed(reply, form);
            connection.onOutcome(this);
        }
    }

    /**
     * The connection ended; a session that waits for its answer ends with it. A oneway call's goes on: its client owes
     * it nothing more, and may well have closed behind it.
     */
    void clientGone() {
        if (isSession() && !done && !oneway) {
            done = true;
            owner.intake().cancel(id, this);
        }
    }
}
