/**
 * The records of one shard, built from its log, and the rules by which operations change them. The claim ID makes
 * operations idempotent, so that an operation may be planned again when the response to its write was lost.
 */
import {
    type BookingOutcome,
    type BookingRecord,
    BookingResult,
    type LedgerOperation,
    type LedgerResult,
} from "../../domain/booking-ledger.js";
import type { LedgerEntry, LedgerSegment } from "./ledger-segment.js";

/** A record with the sequence number of its claim in the log. */
interface SequencedRecord extends BookingRecord {
    readonly sequence: number;
}

/**
 * Appends an old unresolved claim again, so that the segment that contains it can be deleted. Never leaves the router.
 */
export interface CarryForwardOperation {
    readonly type: "carry";
    readonly key: string;
    readonly claimId: string;
}

export type ShardOperation = LedgerOperation | CarryForwardOperation;

/** The entries that a batch of operations appends, and the result of each operation once they are durable. */
export interface OperationPlan {
    readonly entries: readonly LedgerEntry[];
    readonly results: readonly LedgerResult[];
}

export class ShardState {
    private readonly records = new Map<string, SequencedRecord>();

    get recordTotal(): number {
        return this.records.size;
    }

    find(key: string): BookingRecord | undefined {
        return this.records.get(key);
    }

    /** Lists the records that have no outcome or the outcome `unknown`. */
    listUnresolved(): BookingRecord[] {
        return [...this.records.values()].filter(record => isUnresolved(record.outcome));
    }

    /** Plans operations in order, each on the records as changed by those before it. Does not change the state. */
    plan(operations: readonly ShardOperation[]): OperationPlan {
        const overlay = new Map<string, BookingRecord>();
        const entries: LedgerEntry[] = [];
        const results = operations.map(operation => {
            const key = operation.type === "claim" ? operation.claim.key : operation.key;
            const { entry, result } = planOperation(operation, overlay.get(key) ?? this.records.get(key));
            if (entry !== undefined) {
                entries.push(entry);
                overlay.set(key, applyEntry(entry, overlay.get(key) ?? this.records.get(key))!);
            }
            return result;
        });
        return { entries, results };
    }

    /** Applies a segment of the log. A segment of which some entries were already applied is applied in full. */
    apply(segment: LedgerSegment): void {
        for (const entry of segment.entries) {
            const key = entry.type === "claim" ? entry.claim.key : entry.key;
            const before = this.records.get(key);
            const after = applyEntry(entry, before);
            if (after !== undefined) {
                const sequence = entry.type === "claim" ? segment.last : before?.sequence ?? segment.last;
                this.records.set(key, { claim: after.claim, outcome: after.outcome, sequence });
            }
        }
    }

    /** Returns the unresolved records whose current claim is in the segment. */
    unresolvedRecordsIn(segment: LedgerSegment): BookingRecord[] {
        return this.currentRecordsIn(segment).filter(record => isUnresolved(record.outcome));
    }

    /** Removes the records whose current claim is in the segment. */
    removeRecordsOf(segment: LedgerSegment): void {
        for (const record of this.currentRecordsIn(segment)) {
            this.records.delete(record.claim.key);
        }
    }

    private currentRecordsIn(segment: LedgerSegment): SequencedRecord[] {
        return segment.entries.flatMap(entry => {
            const record = entry.type === "claim" ? this.records.get(entry.claim.key) : undefined;
            const isCurrent = record !== undefined && record.sequence >= segment.first
                && record.sequence <= segment.last;
            return isCurrent ? [record] : [];
        });
    }
}

function isUnresolved(outcome: BookingOutcome | undefined): boolean {
    return outcome === undefined || outcome.result === BookingResult.unknown;
}

/** Returns the record after the entry; undefined for an outcome whose claim has been removed. */
function applyEntry(entry: LedgerEntry, before: BookingRecord | undefined): BookingRecord | undefined {
    if (entry.type === "claim") {
        const outcome = before?.claim.claimId === entry.claim.claimId ? before.outcome : undefined;
        return { claim: entry.claim, outcome };
    }
    return before?.claim.claimId === entry.claimId ? { claim: before.claim, outcome: entry.outcome } : before;
}

function planOperation(
    operation: ShardOperation,
    record: BookingRecord | undefined,
): { entry?: LedgerEntry; result: LedgerResult; } {
    switch (operation.type) {
        case "claim":
            return planClaim(operation, record);
        case "outcome":
            return planOutcome(operation, record);
        case "lookup":
            return { result: { type: "found", record } };
        case "carry":
            return planCarryForward(operation, record);
    }
}

function planClaim(
    operation: LedgerOperation & { type: "claim"; },
    record: BookingRecord | undefined,
): { entry?: LedgerEntry; result: LedgerResult; } {
    if (record?.claim.claimId === operation.claim.claimId && record.outcome === undefined) {
        return { result: { type: "claimed" } };
    }
    const isClaimable = record === undefined
        || (record.outcome?.result === BookingResult.notRun && record.claim.claimId !== operation.claim.claimId);
    return isClaimable ? { entry: operation, result: { type: "claimed" } } : { result: { type: "existing", record } };
}

function planCarryForward(
    operation: CarryForwardOperation,
    record: BookingRecord | undefined,
): { entry?: LedgerEntry; result: LedgerResult; } {
    return record?.claim.claimId === operation.claimId && isUnresolved(record.outcome)
        ? { entry: { type: "claim", claim: record.claim }, result: { type: "recorded" } }
        : { result: { type: "ignored" } };
}

function planOutcome(
    operation: LedgerOperation & { type: "outcome"; },
    record: BookingRecord | undefined,
): { entry?: LedgerEntry; result: LedgerResult; } {
    if (record?.claim.claimId !== operation.claimId) {
        return { result: { type: "ignored" } };
    }
    if (record.outcome?.result === operation.outcome.result) {
        return { result: { type: "recorded" } };
    }
    return mayReplaceOutcome(record.outcome, operation.outcome)
        ? { entry: operation, result: { type: "recorded" } }
        : { result: { type: "ignored" } };
}

/** Only the calling router knows whether a booking was done, so `done` also replaces an operator's settlement. */
function mayReplaceOutcome(before: BookingOutcome | undefined, after: BookingOutcome): boolean {
    switch (before?.result) {
        case undefined:
            return true;
        case BookingResult.unknown:
            return after.result === BookingResult.settled || after.result === BookingResult.done;
        case BookingResult.settled:
            return after.result === BookingResult.done;
        case BookingResult.done:
        case BookingResult.notRun:
            return false;
    }
}
