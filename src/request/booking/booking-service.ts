/**
 * Runs bookings at most once. A booking with an idempotency key is claimed durably in the ledger before the service is
 * called, and its outcome is recorded afterwards. Only the router that made the claim calls the service, and only once.
 * A claim without an outcome is never run again.
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
    type RecordedResponse,
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
import { hashLedgerKey, hashRequestContent } from "./booking-hashes.js";
import type {
    BookingDispatchResult,
    BookingRequest,
    BookingResponse,
    BufferedServiceResponse,
    Dispatch,
} from "./types.js";

export interface BookingServiceOptions {
    readonly ledger: BookingLedger;
    /** Records an outcome in the background; resolves when the outcome is durable or recording was abandoned. */
    readonly recordOutcome: (key: string, claimId: string, outcome: BookingOutcome) => Promise<void>;
    readonly routerId: string;
    readonly routerIncarnation: number;
    /** Whether this incarnation of the router is alive, so that it may still make the call that it claimed. */
    readonly isRouterAlive: (routerId: string, incarnation: number) => boolean;
    readonly createClaimId: () => string;
    /** Wall-clock time in milliseconds since the epoch; used only to determine the age of a key. */
    readonly wallClock: () => number;
    /** Longest response body that is recorded for replay. */
    readonly maximumRecordedBodyBytes: number;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Interval at which the record of a booking that is still running is read again. */
const lookupIntervalMilliseconds = 250;

export class BookingService {
    constructor(private readonly options: BookingServiceOptions) {}

    /**
     * Runs the booking, or returns the recorded response of an earlier request with the same idempotency key. Throws a
     * PomelostallError whose outcome states whether the booking ran.
     */
    async book(request: BookingRequest, dispatch: Dispatch): Promise<BookingResponse> {
        return request.idempotencyKey === undefined
            ? toBookingResponse(await dispatch())
            : this.bookWithKey(request, request.idempotencyKey, dispatch);
    }

    private async bookWithKey(
        request: BookingRequest,
        idempotencyKey: string,
        dispatch: Dispatch,
    ): Promise<BookingResponse> {
        const claim: BookingClaim = {
            key: hashLedgerKey(request, idempotencyKey),
            claimId: this.options.createClaimId(),
            requestId: request.requestId,
            bodyHash: hashRequestContent(request),
            customer: request.customer,
            service: request.service,
            routerId: this.options.routerId,
            routerIncarnation: this.options.routerIncarnation,
            claimedAt: this.options.wallClock(),
        };
        for (;;) {
            const result = await this.submitClaim(claim, request);
            if (result.type === "claimed") {
                return this.runClaimed(claim, request, dispatch);
            }
            if (result.type !== "existing") {
                throw new InternalError(
                    `Expected the ledger to answer a claim with 'claimed' or 'existing', got '${result.type}'.`,
                );
            }
            const replayed = await this.resolveExisting(result.record, claim, request);
            if (replayed !== undefined) {
                return replayed;
            }
        }
    }

    /**
     * Submits the claim. If that fails, the claim may still be durable because only the reply was lost; the outcome
     * notRun is recorded for it, so that its key is released.
     */
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

    private async runClaimed(
        claim: BookingClaim,
        request: BookingRequest,
        dispatch: Dispatch,
    ): Promise<BookingResponse> {
        // The deadline may have passed if the process was paused while the claim was written.
        if (monotonicNow() >= request.deadline) {
            void this.record(claim, { result: BookingResult.notRun });
            throw new DeadlineExceededError(Outcome.notRun);
        }
        const result = await this.dispatchOnce(claim, dispatch);
        void this.record(claim, toBookingOutcome(result, this.options.maximumRecordedBodyBytes));
        if (result.kind === "unknown") {
            this.options.logger.warn("booking outcome unknown, the service may have run it; it will not be repeated", {
                requestId: request.requestId,
                error: result.error.message,
            });
            throw new BookingUnknownError(request.requestId);
        }
        return toBookingResponse(result);
    }

    private async dispatchOnce(claim: BookingClaim, dispatch: Dispatch): Promise<BookingDispatchResult> {
        try {
            return await dispatch();
        }
        catch (error) {
            const typedError = error instanceof PomelostallError
                ? error
                : new InternalError("The call to the service failed unexpectedly.", error);
            this.options.logger.error("call to the service failed unexpectedly; recording the booking as unknown", {
                requestId: claim.requestId,
                error: String(error),
            });
            return { kind: "unknown", error: typedError };
        }
    }

    private record(claim: BookingClaim, outcome: BookingOutcome): Promise<void> {
        this.options.metrics.increment("pomelostall.bookings.outcome", 1, { result: outcome.result });
        return this.options.recordOutcome(claim.key, claim.claimId, outcome);
    }

    /** Waits for the booking of an existing claim and replays its response; undefined if the key has been released. */
    private async resolveExisting(
        first: BookingRecord,
        claim: BookingClaim,
        request: BookingRequest,
    ): Promise<BookingResponse | undefined> {
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
            record = await this.pollRecord(record, request);
        }
        return undefined;
    }

    /** Waits for the polling interval and reads the record again, within the request's deadline. */
    private async pollRecord(record: BookingRecord, request: BookingRequest): Promise<BookingRecord | undefined> {
        await delay(Math.min(lookupIntervalMilliseconds, request.deadline - monotonicNow()));
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

    private replay(outcome: BookingOutcome, requestId: string): BookingResponse {
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

function toBookingResponse(result: BookingDispatchResult): BookingResponse {
    if (result.kind !== "response") {
        throw result.error;
    }
    return { answer: result.response, replayedFrom: undefined, bodyOmitted: false };
}

function toBookingOutcome(result: BookingDispatchResult, bodyLimitBytes: number): BookingOutcome {
    switch (result.kind) {
        case "response":
            return { result: BookingResult.done, answer: toRecordedResponse(result.response, bodyLimitBytes) };
        case "not-run":
            return { result: BookingResult.notRun };
        case "unknown":
            return { result: BookingResult.unknown };
    }
}

function toRecordedResponse(response: BufferedServiceResponse, maximumBytes: number): RecordedResponse {
    const { status, contentType, body } = response;
    const isWithinLimit = body.byteLength <= maximumBytes;
    return { status, contentType, body: isWithinLimit ? Buffer.from(body).toString("base64") : undefined };
}
