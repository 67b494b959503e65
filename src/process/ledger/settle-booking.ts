/** Closes a booking whose outcome is not known, with what an operator found out about it. */
import { BookingResult } from "../../domain/booking-ledger.js";
import { BookingNotFoundError } from "../../errors/index.js";
import type { ShardedLedger } from "./sharded-ledger.js";

const settleTimeoutMilliseconds = 10_000;

/** Throws a BookingNotFoundError when no unresolved booking has the request ID. */
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
