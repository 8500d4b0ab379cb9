package peppergauge.bodies.flow;

import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.bodies.ledger.Ledger;
import peppergauge.bodies.ledger.Move;
import peppergauge.bodies.ledger.Tier;
import peppergauge.bodies.spool.KeptFile;
import peppergauge.bodies.spool.Spool;
import peppergauge.request.LargeBodies;

/**
 * A request's body. While it can be kept it is taken in whole before its session opens: in memory, or in a file behind
 * a window of memory. Where it cannot, the session opens at once and the body is passed on as it comes, once, beginning
 * with what was kept of it.
 */
public final class KeptBody extends Passage {

    /** What a body asks of whoever keeps them all. */
    public interface Home {

        Ledger ledger();

        Spool spool();

        /** Carries out what the ledger decided of other bodies. */
        void carryOut(Move move);

        /** Whether a body that cannot be kept is refused rather than passed on. */
        boolean keptOnly(KeptBody body);

        /** A body is refused; tells when its client may come back, ms, 0 for no advice. */
        double refused(KeptBody body, LargeBodies.Rejection why);

        /** Its file could not be written or read; told once for a body. */
        void fileFailed(String why);

        /** It is over, and known no more. */
        void over(KeptBody body);
    }

    private final long id;
    private final Home home;
    private final LargeBodies.Upload upload;
    private final boolean inLedger;
    /** More of it is kept as it comes. */
    private boolean keeping;
    /** It is passed on as it comes. */
    private boolean passing;

    private boolean opened;
    /** It had to go for others. */
    private boolean lost;

    private Spool.Kept file;
    /** Bytes that were handed to the file, and those that are in it for sure. */
    private long handed;

    private long filed;
    private boolean fileFull;
    /** How many must be in the file until memory is free of it. */
    private long movesAt = -1;

    private ByteBuffer loaded;
    private long loadedAt;
    private boolean loading;

    private KeptBody(
            Shared shared, Home home, long id, long length, long most, LargeBodies.Upload upload, boolean kept) {
        super(shared, length, most, upload);
        this.home = home;
        this.id = id;
        this.upload = upload;
        inLedger = kept;
        keeping = kept;
        passing = !kept;
    }

    /** One that the ledger knows under this id, or, if it is not kept, does not. */
    public static KeptBody open(
            Shared shared, Home home, long id, long length, long most, LargeBodies.Upload upload, boolean kept) {
        KeptBody body = new KeptBody(shared, home, id, length, most, upload, kept);
        body.begin();
        if (!kept) {
            body.opens();
        }
        return body;
    }

    public long id() {
        return id;
    }

    /** Whether the ledger knows it. */
    public boolean isInLedger() {
        return inLedger;
    }

    private void opens() {
        if (!opened) {
            opened = true;
            upload.onReady();
        }
    }

    // ---- It comes in ----

    @Override
    void stored(int bytes) {
        if (keeping) {
            for (Move move : home.ledger().grow(id, bytes)) {
                if (move.id() != id) {
                    home.carryOut(move);
                } else if (move.to() == Tier.FILE) {
                    toFile();
                } else {
                    keepNoMore();
                }
            }
            hand();
        }
    }

    @Override
    void onInputComplete() {
        hand();
        opens();
    }

    @Override
    int room() {
        return keeping && file == null ? shared.windows().share() : super.room();
    }

    /** All of it goes to a file from here on: the ledger said so. */
    public void toFile() {
        if (file == null && !isOver()) {
            file = home.spool().keep();
            movesAt = pieces().end();
            hand();
        }
    }

    /** What is whole of its pieces is written; the last one when nothing is to come. */
    private void hand() {
        while (file != null && !fileFull && (keeping || isWhole() && !passing)) {
            ByteBuffer next = pieces().at(handed);
            boolean fullPiece = (handed + next.remaining()) % Pieces.SIZE == 0;
            if (!next.hasRemaining() || !fullPiece && !isWhole()) {
                return;
            }
            int bytes = next.remaining();
            handed += bytes;
            file.append(next, failed -> wrote(bytes, failed));
        }
    }

    private void wrote(int bytes, IOException failed) {
        if (isOver()) {
            return;
        }
        if (failed == null) {
            filed += bytes;
            pieces().dropBefore(filed);
            if (movesAt >= 0 && filed >= movesAt - movesAt % Pieces.SIZE) {
                movesAt = -1;
                home.ledger().moved(id);
            }
            wake();
        } else if (!fileFull) {
            fileFull = true;
            home.fileFailed(failed.getMessage());
            home.ledger().failed(id);
            if (keeping && !isWhole()) {
                keepNoMore();
            }
            keeping = false;
            wake();
        }
    }

    /** It is not whole, and the rest of it cannot be kept. */
    private void keepNoMore() {
        keeping = false;
        if (home.keptOnly(this)) {
            refuse(
                    pieces().end() > home.ledger().bounds().longestKept()
                            ? LargeBodies.Rejection.TOO_LONG
                            : LargeBodies.Rejection.NO_CAPACITY);
            finish(End.BROKEN);
        } else {
            passing = true;
            opens();
        }
    }

    /** It was kept for a retry alone, and had to go for others. */
    public void dropped() {
        lost = true;
        boolean used = handedOut();
        closeFile();
        pieces().clear(used);
    }

    @Override
    public boolean isReadableFromStart() {
        return super.isReadableFromStart() && !lost;
    }

    // ---- It is passed on ----

    @Override
    ByteBuffer at(long offset) {
        if (offset >= filed) {
            return super.at(offset);
        }
        if (loaded != null && offset >= loadedAt && offset < loadedAt + loaded.capacity()) {
            ByteBuffer there = loaded.duplicate();
            there.position((int) (offset - loadedAt));
            return there;
        }
        load((int) (offset / KeptFile.PIECE));
        return nothing();
    }

    private void load(int number) {
        if (!loading && file != null) {
            loading = true;
            file.piece(number, piece -> {
                loading = false;
                if (isOver()) {
                    return;
                }
                if (piece == null) {
                    home.fileFailed("what is in the file is not what was written");
                    finish(End.BROKEN);
                } else {
                    loaded = piece;
                    loadedAt = (long) number * KeptFile.PIECE;
                    wake();
                }
            });
        }
    }

    @Override
    void begun() {
        if (inLedger) {
            home.ledger().needed(id, true);
        }
    }

    @Override
    void passed(long offset) {
        if (passing) {
            commit();
            if (fileFull || handed <= filed) {
                pieces().dropBefore(offset);
            }
        }
    }

    /** It may still be asked for once more, if it is kept. */
    @Override
    boolean allPassed() {
        if (inLedger && !passing) {
            home.ledger().needed(id, false);
        }
        return passing;
    }

    @Override
    boolean stopped() {
        return isCommitted();
    }

    // ---- It ends ----

    @Override
    void senderSlow() {
        shared.ends().slow("client");
        refuse(LargeBodies.Rejection.TOO_SLOW);
    }

    private void refuse(LargeBodies.Rejection why) {
        upload.onRejected(why, home.refused(this, why));
    }

    @Override
    void tooLong() {
        refuse(LargeBodies.Rejection.TOO_LONG);
    }

    @Override
    void freeStorage() {
        closeFile();
        home.over(this);
    }

    /** What was handed to the file's thread and is not known to be written. */
    @Override
    boolean handedOut() {
        return handed > filed;
    }

    private void closeFile() {
        loaded = null;
        if (file != null) {
            file.close();
            file = null;
        }
    }
}
