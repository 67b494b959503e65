/** Settles an unresolved booking with the reason that an operator gives. */
import { BookingResult } from "../../domain/booking-ledger.js";
import { BookingNotFoundError } from "../../errors/index.js";
import type { ShardedLedger } from "./sharded-ledger.js";

const settleTimeoutMilliseconds = 10_000;

/**
 * Records the booking as settled for the given reason. Throws a BookingNotFoundError when no unresolved booking has the
 * request ID.
 */
export async function settleBooking(ledger: ShardedLedger, requestId: string, reason: string): Promise<void> {
    const records = await ledger.listUnresolved();
    const record = records.find(each => each.claim.requestId === requestId);
    if (record === undefined) {
        throw new BookingNotFoundError(requestId);
    }
    const { key, claimId } = record.claim;
    const outcome = { result: BookingResult.settled, reason };
    const result = await ledger.submitLocally({ type: "outcome", key, claimId, outcome }, settleTimeoutMilliseconds);
    if (result.type !== "recorded") {
        throw new BookingNotFoundError(requestId);
    }
}
