package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.TokenBatch;
import io.persimmonstack.coordination.cap.TokenTaker;
import java.util.List;

/** Tokens that a request was counted for. */
public final class AdmittedTokens {
    private static final AdmittedTokens NONE = new AdmittedTokens(null, "", List.of());
    private final TokenTaker taker;
    private final String workspace;
    private final List<TokenBatch> batches;

    private AdmittedTokens(TokenTaker taker, String workspace, List<TokenBatch> batches) {
        this.taker = taker;
        this.workspace = workspace;
        this.batches = batches;
    }

    /** Returns the tokens of a request that is not counted. */
    static AdmittedTokens none() {
        return NONE;
    }

    static AdmittedTokens of(TokenTaker taker, String workspace, List<TokenBatch> batches) {
        return new AdmittedTokens(taker, workspace, batches);
    }

    /** Gives the tokens back, since the request has not run and never will; to be called once at most. */
    public void giveBack() {
        if (taker != null) {
            taker.giveBack(workspace, batches);
        }
    }
}
