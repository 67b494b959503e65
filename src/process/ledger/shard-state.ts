/**
 * The records of one shard, as its log gives them, and what an operation means for them. Operations are idempotent by
 * their claim ID, so that one whose answer was lost may be planned again.
 */
import {
    type BookingOutcome,
    type BookingRecord,
    BookingResult,
    type LedgerOperation,
    type LedgerResult,
} from "../../domain/booking-ledger.js";
import type { LedgerEntry, LedgerSegment } from "./ledger-segment.js";

/** A record with the place of its claim in the log. */
interface PlacedRecord extends BookingRecord {
    readonly sequence: number;
}

/** Writes an old claim that has no final outcome again, so that the segment it stood in can be deleted. */
export interface CarryOperation {
    readonly type: "carry";
    readonly key: string;
    readonly claimId: string;
}

export type ShardOperation = LedgerOperation | CarryOperation;

/** What operations come to: entries to append, and a result for each operation once they are durable. */
export interface OperationPlan {
    readonly entries: readonly LedgerEntry[];
    readonly results: readonly LedgerResult[];
}

export class ShardState {
    private readonly records = new Map<string, PlacedRecord>();

    get recordTotal(): number {
        return this.records.size;
    }

    find(key: string): BookingRecord | undefined {
        return this.records.get(key);
    }

    /** Records without an outcome, and those whose outcome is unknown. */
    listUnresolved(): BookingRecord[] {
        return [...this.records.values()].filter(record => isUnresolved(record.outcome));
    }

    /** Works operations out one after the other without changing the state. */
    plan(operations: readonly ShardOperation[]): OperationPlan {
        const overlay = new Map<string, BookingRecord>();
        const entries: LedgerEntry[] = [];
        const results = operations.map(operation => {
            const key = operation.type === "claim" ? operation.claim.key : operation.key;
            const { entry, result } = planOne(operation, overlay.get(key) ?? this.records.get(key));
            if (entry !== undefined) {
                entries.push(entry);
                overlay.set(key, applyEntry(entry, overlay.get(key) ?? this.records.get(key))!);
            }
            return result;
        });
        return { entries, results };
    }

    /** Takes a segment of the log in. A segment that is known in part is taken in whole. */
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

    /** Claims of a segment that still stand and have no final outcome. */
    unresolvedOf(segment: LedgerSegment): BookingRecord[] {
        return this.standingOf(segment).filter(record => isUnresolved(record.outcome));
    }

    /** Forgets the keys whose standing claims lie in the segment. */
    forget(segment: LedgerSegment): void {
        for (const record of this.standingOf(segment)) {
            this.records.delete(record.claim.key);
        }
    }

    private standingOf(segment: LedgerSegment): PlacedRecord[] {
        return segment.entries.flatMap(entry => {
            const record = entry.type === "claim" ? this.records.get(entry.claim.key) : undefined;
            const stands = record !== undefined && record.sequence >= segment.first && record.sequence <= segment.last;
            return stands ? [record] : [];
        });
    }
}

function isUnresolved(outcome: BookingOutcome | undefined): boolean {
    return outcome === undefined || outcome.result === BookingResult.unknown;
}

/** The record after the entry; undefined when an outcome's claim was forgotten. */
function applyEntry(entry: LedgerEntry, before: BookingRecord | undefined): BookingRecord | undefined {
    if (entry.type === "claim") {
        const outcome = before?.claim.claimId === entry.claim.claimId ? before.outcome : undefined;
        return { claim: entry.claim, outcome };
    }
    return before?.claim.claimId === entry.claimId ? { claim: before.claim, outcome: entry.outcome } : before;
}

function planOne(
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
            return planCarry(operation, record);
    }
}

function planClaim(
    operation: LedgerOperation & { type: "claim"; },
    record: BookingRecord | undefined,
): { entry?: LedgerEntry; result: LedgerResult; } {
    if (record?.claim.claimId === operation.claim.claimId && record.outcome === undefined) {
        return { result: { type: "claimed" } };
    }
    const isFree = record === undefined
        || (record.outcome?.result === BookingResult.notRun && record.claim.claimId !== operation.claim.claimId);
    return isFree ? { entry: operation, result: { type: "claimed" } } : { result: { type: "existing", record } };
}

function planCarry(
    operation: CarryOperation,
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
    return mayFollow(record.outcome, operation.outcome)
        ? { entry: operation, result: { type: "recorded" } }
        : { result: { type: "ignored" } };
}

/** Only the calling router knows that a booking is done, so that its word also counts after an operator's. */
function mayFollow(before: BookingOutcome | undefined, after: BookingOutcome): boolean {
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
