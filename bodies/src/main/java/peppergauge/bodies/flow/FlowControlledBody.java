package peppergauge.bodies.flow;

import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.bodies.limits.StallDetector;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.Scheduler;

/**
 * A body that is streamed from a producer to a reader under flow control: the producer may send as many bytes as the
 * receive window has free. A side that is stalled while the flow waits for it ends the flow. Event-loop thread only.
 */
abstract class FlowControlledBody implements BodyWriter, BodyStream {

    private static final int STALL_CHECKS_PER_WINDOW = 4;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    final FlowContext context;
    private final long declaredBytes;
    private final long maxBytes;
    private final BodyWriter.Producer producer;
    private final StallDetector producerStall;
    private final ChunkBuffer buffer;
    private Scheduler.ScheduledTask stallCheck;
    private Listener listener = new Listener() {};
    private boolean committed;
    private Reading reading;
    private boolean inputComplete;
    /** How the body ended for every reader; null until then. */
    private End finalEnd;

    /**
     * @param declaredBytes its length, -1 if unknown until it ends
     * @param maxBytes the length over which the body is cut off
     */
    FlowControlledBody(FlowContext context, long declaredBytes, long maxBytes, BodyWriter.Producer producer) {
        this.context = context;
        this.declaredBytes = declaredBytes;
        this.maxBytes = maxBytes;
        this.producer = producer;
        producerStall = context.newStallDetector();
        buffer = new ChunkBuffer(context.chunkPool());
    }

    /** Starts the flow. Called once, when the subclass is completely constructed. */
    final void start() {
        context.windows().onFlowOpened();
        scheduleStallCheck();
        updateFlowControl();
    }

    // ---- Implemented by request and response bodies ----

    /** That many bytes were added to {@link #buffer}. */
    abstract void onBytesReceived(int bytes);

    /** The last byte was received. */
    void onInputComplete() {}

    /** The bytes from an offset on that are in memory and can be forwarded now; empty if there are none yet. */
    ByteBuffer bytesFrom(long offset) {
        return buffer.bytesFrom(offset);
    }

    /** All bytes before the offset were forwarded to the reader. */
    abstract void onForwarded(long offset);

    /** A reader has read every byte. */
    void onReadingComplete() {}

    /** Whether the flow ends as soon as one reader has read every byte. */
    abstract boolean endsWithCompleteReading();

    /** Whether the flow ends as soon as a reader stops before the last byte. */
    abstract boolean endsWithCancelledReading();

    /** The number of bytes that the producer may send now. */
    int capacityBytes() {
        return (int) Math.max(0, context.windows().windowBytes() - (buffer.end() - buffer.start()));
    }

    /** The producer is stalled; the flow ends after this call. */
    abstract void onProducerStalled();

    /** The body is longer than its limit; the flow ends after this call. */
    abstract void onTooLong();

    /** Whether another thread may still read the buffer's memory. */
    boolean hasPendingWrites() {
        return false;
    }

    /** The flow has ended: releases what the subclass stored. */
    void releaseStorage() {}

    // ---- Writer ----

    @Override
    public final BodyStream stream() {
        return this;
    }

    @Override
    public final void write(ByteBuffer part) {
        int bytes = part.remaining();
        if (finalEnd != null || inputComplete) {
            part.position(part.limit());
            return;
        }
        if (buffer.end() + bytes > maxBytes) {
            part.position(part.limit());
            onTooLong();
            finish(End.BROKEN);
            return;
        }
        buffer.append(part);
        producerStall.onBytesMoved(context.clock().nowMs(), bytes);
        onBytesReceived(bytes);
        onProgress();
    }

    @Override
    public final void complete() {
        if (finalEnd != null || inputComplete) {
            return;
        }
        if (declaredBytes >= 0 && buffer.end() != declaredBytes) {
            finish(End.BROKEN);
            return;
        }
        inputComplete = true;
        onInputComplete();
        Reading current = reading;
        if (current != null) {
            current.checkComplete();
            current.notifyAvailable();
        }
        updateFlowControl();
    }

    @Override
    public final void abort() {
        finish(End.BROKEN);
    }

    // ---- Stream ----

    @Override
    public final long length() {
        return declaredBytes < 0 && inputComplete ? buffer.end() : declaredBytes;
    }

    @Override
    public boolean isReadableFromStart() {
        return finalEnd == null && !committed;
    }

    @Override
    public final Reader openReader(Runnable onAvailable) {
        if (!isReadableFromStart()) {
            throw new IllegalStateException("the body is no longer readable from its first byte");
        }
        if (reading != null) {
            reading.end = reading.end == null ? End.CANCELLED : reading.end;
        }
        reading = new Reading(onAvailable);
        onReadingStarted();
        reading.checkComplete();
        updateFlowControl();
        return reading;
    }

    /** A reader was opened. */
    void onReadingStarted() {}

    /** Sets the listener; a later one replaces it. */
    @Override
    public final void addListener(Listener newListener) {
        listener = newListener;
        if (committed) {
            newListener.onCommitted();
        }
        if (finalEnd != null) {
            newListener.onEnd(finalEnd);
        }
    }

    @Override
    public final void release() {
        finish(End.CANCELLED);
    }

    // ---- For subclasses ----

    final ChunkBuffer buffer() {
        return buffer;
    }

    final boolean isInputComplete() {
        return inputComplete;
    }

    final boolean hasEnded() {
        return finalEnd != null;
    }

    final boolean isCommitted() {
        return committed;
    }

    /** Forwarded bytes are no longer stored, so that the body cannot be read again. */
    final void commit() {
        if (!committed) {
            committed = true;
            listener.onCommitted();
        }
    }

    /** Bytes or capacity may have become available: updates the flow control and notifies the reader. */
    final void onProgress() {
        if (finalEnd == null) {
            updateFlowControl();
            if (reading != null) {
                reading.notifyAvailable();
            }
        }
    }

    /** Ends the flow for every reader and releases its memory. Does nothing if it has ended. */
    final void finish(End end) {
        if (finalEnd != null) {
            return;
        }
        finalEnd = end;
        if (stallCheck != null) {
            stallCheck.cancel();
        }
        context.windows().onFlowClosed();
        Reading last = reading;
        boolean interruptsReading = last != null && last.end == null;
        if (interruptsReading) {
            last.end = end;
        }
        releaseStorage();
        buffer.clear(hasPendingWrites());
        if (end != End.COMPLETE || !inputComplete) {
            producer.cancel();
        }
        if (interruptsReading && !last.transferring) {
            last.onAvailable.run();
        }
        listener.onEnd(end);
        context.listener().onFlowEnded();
    }

    /** Updates which side the flow waits for, and grants the producer the capacity that is free. */
    private void updateFlowControl() {
        if (finalEnd == null) {
            double now = context.clock().nowMs();
            int capacity = inputComplete ? 0 : capacityBytes();
            producerStall.setAwaited(now, capacity > 0);
            if (reading != null) {
                reading.stall.setAwaited(now, reading.available() > 0);
            }
            if (!inputComplete) {
                producer.grantCapacity(capacity);
            }
        }
    }

    private void scheduleStallCheck() {
        stallCheck = context.scheduler().schedule(context.stallWindowMs() / STALL_CHECKS_PER_WINDOW, () -> {
            if (finalEnd == null) {
                scheduleStallCheck();
                checkForStall();
            }
        });
    }

    private void checkForStall() {
        double now = context.clock().nowMs();
        updateFlowControl();
        if (!inputComplete && producerStall.isStalled(now)) {
            onProducerStalled();
            finish(End.BROKEN);
        } else if (reading != null && reading.end == null && reading.stall.isStalled(now)) {
            context.listener().onCutOff(FlowContext.CutOffReason.READER_STALLED);
            reading.end = End.CANCELLED;
            Reading stalled = reading;
            if (endsWithCancelledReading()) {
                finish(End.CANCELLED);
            }
            stalled.onAvailable.run();
        }
    }

    /** One reading of the body from its first byte. */
    private final class Reading implements Reader {

        private final Runnable onAvailable;
        private final StallDetector stall = context.newStallDetector();
        private long position;
        private End end;
        private boolean transferring;

        Reading(Runnable onAvailable) {
            this.onAvailable = onAvailable;
        }

        @Override
        public int available() {
            return end != null ? 0 : bytesFrom(position).remaining();
        }

        @Override
        public void transferTo(Sink sink) throws IOException {
            transferring = true;
            try {
                transferAvailable(sink);
            } finally {
                transferring = false;
            }
            updateFlowControl();
        }

        private void transferAvailable(Sink sink) throws IOException {
            while (end == null) {
                ByteBuffer available = bytesFrom(position);
                int written = available.hasRemaining() ? sink.write(available) : 0;
                if (written > 0) {
                    position += written;
                    stall.onBytesMoved(context.clock().nowMs(), written);
                    onForwarded(position);
                    checkComplete();
                }
                if (written == 0 || available.hasRemaining()) {
                    return;
                }
            }
        }

        private void notifyAvailable() {
            if (!transferring && (end == null || end == End.COMPLETE)) {
                onAvailable.run();
            }
        }

        private void checkComplete() {
            if (end == null && inputComplete && position == buffer.end()) {
                end = End.COMPLETE;
                onReadingComplete();
                if (endsWithCompleteReading()) {
                    finish(End.COMPLETE);
                }
            }
        }

        @Override
        public End end() {
            return end;
        }

        @Override
        public void cancel() {
            if (end == null) {
                end = End.CANCELLED;
                if (this == reading && endsWithCancelledReading()) {
                    finish(End.CANCELLED);
                }
            }
        }
    }

    static ByteBuffer empty() {
        return EMPTY;
    }
}
