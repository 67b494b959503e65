/**
 * Runs bookings at most once. With a key, a claim is durable in the ledger before the call is made, and its outcome is
 * recorded after; only the router that made the claim makes the call, once. A claim without an outcome is never run
 * again.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import {
    type BookingClaim,
    type BookingLedger,
    type BookingOutcome,
    type BookingRecord,
    BookingResult,
    type LedgerResult,
    type RecordedAnswer,
} from "../../domain/booking-ledger.js";
import {
    BookingRefusedError,
    BookingRunningError,
    BookingUnknownError,
    DeadlineExceededError,
    IdempotencyKeyReusedError,
    InternalError,
    Outcome,
    PomelostallError,
} from "../../errors/index.js";
import { digestContent, digestKey } from "./booking-digest.js";
import type { BookingAnswer, BookingRequest, Dispatch, DispatchResult, ServiceAnswer } from "./types.js";

export interface BookingServiceOptions {
    readonly ledger: BookingLedger;
    /** Records an outcome after the answer; resolves when it is durable or was given up. */
    readonly recordOutcome: (key: string, claimId: string, outcome: BookingOutcome) => Promise<void>;
    readonly routerId: string;
    readonly routerIncarnation: number;
    /** Whether that incarnation of the router may still make the call of its claim. */
    readonly isRouterAlive: (routerId: string, incarnation: number) => boolean;
    readonly createClaimId: () => string;
    /** Wall clock, only to know how old a key is. */
    readonly wallClock: () => number;
    readonly maximumAnswerBytes: number;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Time between two looks at a booking that another router runs. */
const lookupMilliseconds = 250;

export class BookingService {
    constructor(private readonly options: BookingServiceOptions) {}

    /**
     * Runs the booking, or gives what became of an earlier request with the same key. Throws a PomelostallError whose
     * outcome tells whether the booking ran.
     */
    async book(request: BookingRequest, dispatch: Dispatch): Promise<BookingAnswer> {
        return request.idempotencyKey === undefined
            ? answerOf(await dispatch())
            : this.bookWithKey(request, request.idempotencyKey, dispatch);
    }

    private async bookWithKey(
        request: BookingRequest,
        idempotencyKey: string,
        dispatch: Dispatch,
    ): Promise<BookingAnswer> {
        const claim: BookingClaim = {
            key: digestKey(request, idempotencyKey),
            claimId: this.options.createClaimId(),
            requestId: request.requestId,
            bodyHash: digestContent(request),
            customer: request.customer,
            service: request.service,
            routerId: this.options.routerId,
            routerIncarnation: this.options.routerIncarnation,
            claimedAt: this.options.wallClock(),
        };
        for (;;) {
            const result = await this.submitClaim(claim, request);
            if (result.type === "claimed") {
                return this.run(claim, request, dispatch);
            }
            if (result.type !== "existing") {
                throw new InternalError(`A claim was answered by ${result.type}.`);
            }
            const replayed = await this.answerExisting(result.record, claim, request);
            if (replayed !== undefined) {
                return replayed;
            }
        }
    }

    /** A claim whose answer is lost may be durable; it is withdrawn, so that the key does not stay claimed. */
    private async submitClaim(claim: BookingClaim, request: BookingRequest): Promise<LedgerResult> {
        const start = monotonicNow();
        try {
            return await this.options.ledger.submit({ type: "claim", claim }, request.deadline - start);
        }
        catch (error) {
            this.options.metrics.increment("pomelostall.bookings.refused");
            void this.options.recordOutcome(claim.key, claim.claimId, { result: BookingResult.notRun });
            throw new BookingRefusedError(error);
        }
        finally {
            this.options.metrics.timing("pomelostall.bookings.claim", monotonicNow() - start);
        }
    }

    private async run(claim: BookingClaim, request: BookingRequest, dispatch: Dispatch): Promise<BookingAnswer> {
        // The process may have been paused while the claim was written.
        if (monotonicNow() >= request.deadline) {
            void this.record(claim, { result: BookingResult.notRun });
            throw new DeadlineExceededError(Outcome.notRun);
        }
        const result = await this.dispatchOnce(claim, dispatch);
        void this.record(claim, outcomeOf(result, this.options.maximumAnswerBytes));
        if (result.kind === "unknown") {
            this.options.logger.warn("a booking may have run", {
                requestId: request.requestId,
                error: result.error.message,
            });
            throw new BookingUnknownError(request.requestId);
        }
        return answerOf(result);
    }

    private async dispatchOnce(claim: BookingClaim, dispatch: Dispatch): Promise<DispatchResult> {
        try {
            return await dispatch();
        }
        catch (error) {
            const typed = error instanceof PomelostallError ? error : new InternalError("The call failed.", error);
            this.options.logger.error("a booking's call failed unexpectedly", {
                requestId: claim.requestId,
                error: String(error),
            });
            return { kind: "unknown", error: typed };
        }
    }

    private record(claim: BookingClaim, outcome: BookingOutcome): Promise<void> {
        this.options.metrics.increment("pomelostall.bookings.outcome", 1, { result: outcome.result });
        return this.options.recordOutcome(claim.key, claim.claimId, outcome);
    }

    /** The answer of another claim's booking; undefined when its key is free again. */
    private async answerExisting(
        first: BookingRecord,
        claim: BookingClaim,
        request: BookingRequest,
    ): Promise<BookingAnswer | undefined> {
        for (let record: BookingRecord | undefined = first; record !== undefined;) {
            const { requestId, bodyHash } = record.claim;
            if (record.outcome?.result === BookingResult.notRun) {
                return undefined;
            }
            if (bodyHash !== claim.bodyHash) {
                throw new IdempotencyKeyReusedError(requestId);
            }
            if (record.outcome !== undefined) {
                return this.replay(record.outcome, requestId);
            }
            if (!this.options.isRouterAlive(record.claim.routerId, record.claim.routerIncarnation)) {
                throw new BookingUnknownError(requestId);
            }
            record = await this.lookUpAgain(record, request);
        }
        return undefined;
    }

    /** Waits a little and reads the record again, within the request's deadline. */
    private async lookUpAgain(record: BookingRecord, request: BookingRequest): Promise<BookingRecord | undefined> {
        await delay(Math.min(lookupMilliseconds, request.deadline - monotonicNow()));
        const remaining = request.deadline - monotonicNow();
        if (remaining <= 0) {
            throw new BookingRunningError(record.claim.requestId);
        }
        try {
            const result = await this.options.ledger.submit({ type: "lookup", key: record.claim.key }, remaining);
            return result.type === "found" ? result.record : record;
        }
        catch {
            return record;
        }
    }

    private replay(outcome: BookingOutcome, requestId: string): BookingAnswer {
        if (outcome.result !== BookingResult.done || outcome.answer === undefined) {
            throw new BookingUnknownError(requestId, outcome.reason);
        }
        const { status, contentType, body } = outcome.answer;
        this.options.metrics.increment("pomelostall.bookings.replayed");
        return {
            answer: { status, contentType, body: Buffer.from(body ?? "", "base64") },
            replayedFrom: requestId,
            bodyOmitted: body === undefined,
        };
    }
}

function answerOf(result: DispatchResult): BookingAnswer {
    if (result.kind !== "response") {
        throw result.error;
    }
    return { answer: result.answer, replayedFrom: undefined, bodyOmitted: false };
}

function outcomeOf(result: DispatchResult, maximumAnswerBytes: number): BookingOutcome {
    switch (result.kind) {
        case "response":
            return { result: BookingResult.done, answer: recordedAnswer(result.answer, maximumAnswerBytes) };
        case "not-run":
            return { result: BookingResult.notRun };
        case "unknown":
            return { result: BookingResult.unknown };
    }
}

function recordedAnswer(answer: ServiceAnswer, maximumBytes: number): RecordedAnswer {
    const { status, contentType, body } = answer;
    const fits = body.byteLength <= maximumBytes;
    return { status, contentType, body: fits ? Buffer.from(body).toString("base64") : undefined };
}
