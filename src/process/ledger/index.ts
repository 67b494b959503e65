/** The booking ledger: a durable record of the bookings that have an idempotency key. */
export { keyRetentionMilliseconds, maximumAnswerBytes, shardTotal } from "./constants.js";
export { OutcomeRecorder } from "./outcome-recorder.js";
export { settleBooking } from "./settle-booking.js";
export { ShardedLedger, type ShardedLedgerOptions, shardOf } from "./sharded-ledger.js";
