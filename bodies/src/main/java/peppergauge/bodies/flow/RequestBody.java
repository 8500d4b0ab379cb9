package peppergauge.bodies.flow;

import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.bodies.ledger.Ledger;
import peppergauge.bodies.ledger.Tier;
import peppergauge.bodies.ledger.TierChange;
import peppergauge.bodies.spool.ChecksummedFile;
import peppergauge.bodies.spool.Spool;
import peppergauge.request.LargeBodies;

/**
 * The body of a request. A body that can be buffered is received completely before its request is handled: in memory,
 * or in a file behind a receive window in memory. For a body that cannot be buffered, the request is handled at once
 * and the body is streamed as it arrives, a single time, beginning with the bytes that were buffered.
 *
 * <p>Event-loop thread only.
 */
public final class RequestBody extends FlowControlledBody {

    /** The owner of all request bodies. */
    public interface Registry {

        Ledger ledger();

        /** Returns a file for one body, and counts it. */
        Spool.BodyFile newFile();

        /** Applies a decision of the ledger to the body that it names. */
        void apply(TierChange change);

        /** Decides whether a body that cannot be buffered any further is rejected instead of streamed. */
        boolean rejectsUnbuffered(RequestBody body);

        /** Counts and logs a rejected body; returns the delay to advise to its client, ms, 0 for no advice. */
        double recordRejection(LargeBodies.Rejection reason);

        /** A body's file could not be written or read. */
        void onFileFailed(String reason);

        /** A body has ended and is to be forgotten. */
        void onEnded(RequestBody body);
    }

    private final long id;
    private final Registry registry;
    private final LargeBodies.Upload upload;
    private final boolean inLedger;
    /** Whether the bytes still to arrive are buffered for a retry. */
    private boolean buffering;
    /** Whether the body is streamed as it arrives. */
    private boolean streaming;

    private boolean ready;
    /** Whether its stored bytes were discarded to free space for other bodies. */
    private boolean discarded;

    private Spool.BodyFile file;
    /** Bytes that were submitted to the file. */
    private long submittedBytes;
    /** Bytes whose write to the file has succeeded. */
    private long writtenBytes;

    private boolean fileFailed;
    /** The offset up to which bytes in memory are moved to the file; -1 if no move is in progress. */
    private long moveEnd = -1;

    private ByteBuffer loadedChunk;
    private long loadedOffset;
    private boolean loading;

    private RequestBody(
            FlowContext context,
            Registry registry,
            long id,
            long declaredBytes,
            long maxBytes,
            LargeBodies.Upload upload,
            boolean buffered) {
        super(context, declaredBytes, maxBytes, upload);
        this.registry = registry;
        this.id = id;
        this.upload = upload;
        inLedger = buffered;
        buffering = buffered;
        streaming = !buffered;
    }

    /**
     * Opens a request's body.
     *
     * @param id known to the ledger if and only if the body is buffered
     * @param declaredBytes its length, -1 if unknown until it ends
     * @param maxBytes the length over which it is rejected
     * @param buffered whether it is buffered for a retry, rather than streamed
     */
    public static RequestBody open(
            FlowContext context,
            Registry registry,
            long id,
            long declaredBytes,
            long maxBytes,
            LargeBodies.Upload upload,
            boolean buffered) {
        RequestBody body = new RequestBody(context, registry, id, declaredBytes, maxBytes, upload, buffered);
        body.start();
        if (!buffered) {
            body.notifyReady();
        }
        return body;
    }

    public long id() {
        return id;
    }

    /** Whether the ledger accounts for it. */
    public boolean isInLedger() {
        return inLedger;
    }

    private void notifyReady() {
        if (!ready) {
            ready = true;
            upload.onReady();
        }
    }

    // ---- Receiving ----

    @Override
    void onBytesReceived(int bytes) {
        if (buffering) {
            for (TierChange change : registry.ledger().grow(id, bytes)) {
                if (change.id() != id) {
                    registry.apply(change);
                } else if (change.target() == Tier.FILE) {
                    moveToFile();
                } else {
                    stopBuffering();
                }
            }
            submitChunks();
        }
    }

    @Override
    void onInputComplete() {
        submitChunks();
        notifyReady();
    }

    @Override
    int capacityBytes() {
        return buffering && file == null ? context.windows().windowBytes() : super.capacityBytes();
    }

    /** Moves the bytes in memory to a file, which later bytes are written to as well, as the ledger has decided. */
    public void moveToFile() {
        if (file == null && !hasEnded()) {
            file = registry.newFile();
            moveEnd = buffer().end();
            submitChunks();
        }
    }

    /** Submits complete chunks to the file, and the last one when the input is complete. */
    private void submitChunks() {
        while (file != null && !fileFailed && (buffering || isInputComplete() && !streaming)) {
            ByteBuffer next = buffer().bytesFrom(submittedBytes);
            boolean isFullChunk = (submittedBytes + next.remaining()) % ChunkBuffer.CHUNK_BYTES == 0;
            if (!next.hasRemaining() || !isFullChunk && !isInputComplete()) {
                return;
            }
            int bytes = next.remaining();
            submittedBytes += bytes;
            file.append(next, failure -> onWritten(bytes, failure));
        }
    }

    private void onWritten(int bytes, IOException failure) {
        if (hasEnded()) {
            return;
        }
        if (failure == null) {
            writtenBytes += bytes;
            buffer().dropBefore(writtenBytes);
            if (moveEnd >= 0 && writtenBytes >= moveEnd - moveEnd % ChunkBuffer.CHUNK_BYTES) {
                moveEnd = -1;
                registry.ledger().onMoved(id);
            }
            onProgress();
        } else if (!fileFailed) {
            fileFailed = true;
            registry.onFileFailed(failure.getMessage());
            registry.ledger().onFileFailed(id);
            if (buffering && !isInputComplete()) {
                stopBuffering();
            }
            buffering = false;
            onProgress();
        }
    }

    /** The rest of an incomplete body cannot be buffered: rejects the body, or streams it from now on. */
    private void stopBuffering() {
        buffering = false;
        if (registry.rejectsUnbuffered(this)) {
            reject(
                    buffer().end() > registry.ledger().limits().maxBufferedBodyBytes()
                            ? LargeBodies.Rejection.TOO_LONG
                            : LargeBodies.Rejection.NO_CAPACITY);
            finish(End.BROKEN);
        } else {
            streaming = true;
            notifyReady();
        }
    }

    /** Discards the stored bytes, which only a retry would need, to free space for other bodies. */
    public void discardStored() {
        discarded = true;
        boolean pendingWrites = hasPendingWrites();
        closeFile();
        buffer().clear(pendingWrites);
    }

    @Override
    public boolean isReadableFromStart() {
        return super.isReadableFromStart() && !discarded;
    }

    // ---- Forwarding ----

    @Override
    ByteBuffer bytesFrom(long offset) {
        if (offset >= writtenBytes) {
            return super.bytesFrom(offset);
        }
        if (loadedChunk != null && offset >= loadedOffset && offset < loadedOffset + loadedChunk.capacity()) {
            ByteBuffer rest = loadedChunk.duplicate();
            rest.position((int) (offset - loadedOffset));
            return rest;
        }
        loadChunk((int) (offset / ChecksummedFile.CHUNK_BYTES));
        return empty();
    }

    private void loadChunk(int index) {
        if (!loading && file != null) {
            loading = true;
            file.readChunk(index, chunk -> {
                loading = false;
                if (hasEnded()) {
                    return;
                }
                if (chunk == null) {
                    registry.onFileFailed("chunk " + index + " is unreadable or does not match its checksum");
                    finish(End.BROKEN);
                } else {
                    loadedChunk = chunk;
                    loadedOffset = (long) index * ChecksummedFile.CHUNK_BYTES;
                    onProgress();
                }
            });
        }
    }

    @Override
    void onReadingStarted() {
        if (inLedger) {
            registry.ledger().setNeeded(id, true);
        }
    }

    @Override
    void onForwarded(long offset) {
        if (streaming) {
            commit();
            if (fileFailed || submittedBytes <= writtenBytes) {
                buffer().dropBefore(offset);
            }
        }
    }

    /** A buffered body remains available for a retry. */
    @Override
    void onReadingComplete() {
        if (inLedger && !streaming) {
            registry.ledger().setNeeded(id, false);
        }
    }

    @Override
    boolean endsWithCompleteReading() {
        return streaming;
    }

    @Override
    boolean endsWithCancelledReading() {
        return isCommitted();
    }

    // ---- Ending ----

    @Override
    void onProducerStalled() {
        context.listener().onCutOff(FlowContext.CutOffReason.CLIENT_STALLED);
        reject(LargeBodies.Rejection.TOO_SLOW);
    }

    private void reject(LargeBodies.Rejection reason) {
        upload.onRejected(reason, registry.recordRejection(reason));
    }

    @Override
    void onTooLong() {
        reject(LargeBodies.Rejection.TOO_LONG);
    }

    @Override
    void releaseStorage() {
        closeFile();
        registry.onEnded(this);
    }

    /** Bytes submitted to the disk thread stay in use until their write is reported. */
    @Override
    boolean hasPendingWrites() {
        return submittedBytes > writtenBytes;
    }

    private void closeFile() {
        loadedChunk = null;
        if (file != null) {
            file.close();
            file = null;
        }
    }
}
