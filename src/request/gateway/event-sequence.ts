/**
 * The events that may answer one request, over all its runs. An event has data and an ID, a whole number that is one more than
 * that of the event before it. The first one follows the event that the caller states to have received; a stream from its
 * beginning starts with ID 0 or 1. Each event holds one token or more, so that there are no more events than tokens; every
 * answer has a token.
 */

/** The fields of an event that place it in its stream. */
export interface EventFields {
    /** Undefined for an event without an ID, with several, or with one that is no whole number. */
    readonly id: number | undefined;
    readonly hasData: boolean;
}

/** Complete events that arrived together and follow what has been delivered. */
export interface EventBatch {
    /** The events' bytes, including the empty lines that terminate them. */
    readonly bytes: Buffer;
    readonly count: number;
    readonly lastId: number;
}

export interface StreamStart {
    /** ID of the last event that the caller states to have received; undefined if it asks for the stream from its beginning. */
    readonly resumedAfter: number | undefined;
    /** Whether the streams of the route go on after the event that a request states, rather than start anew. */
    readonly resumable: boolean;
}

/** Why an event can't be the next one. */
export interface SequenceFault {
    readonly reason: string;
    /** Whether the event would be at fault only if what the caller states of itself is true. */
    readonly restsOnCaller: boolean;
}

const wholeNumberPattern = /^(?:0|[1-9]\d{0,14})$/;

/** Undefined unless the text is a whole number, without leading zeros, that is exact in this runtime. */
export function parseEventId(text: string): number | undefined {
    return wholeNumberPattern.test(text) ? Number(text) : undefined;
}

export class EventSequence {
    private readonly firstIds: readonly number[];
    private readonly maximumEvents: number;
    private lastId: number | undefined;
    private count = 0;
    private overrun = false;

    constructor(
        private readonly start: StreamStart,
        /** The most output tokens that the caller allows; undefined if it does not state them. */
        maximumTokens: number | undefined,
    ) {
        this.maximumEvents = Math.max(1, maximumTokens ?? Infinity);
        const { resumedAfter, resumable } = start;
        const anew = resumedAfter === undefined || !resumable ? [0, 1] : [];
        this.firstIds = resumedAfter === undefined ? anew : [...anew, resumedAfter + 1];
    }

    /** Whether the caller has an event of the stream. */
    get hasBegun(): boolean {
        return this.lastId !== undefined || this.start.resumedAfter !== undefined;
    }

    /** Whether a run has sent more events than the caller allows tokens, so that nothing can follow what the caller has. */
    get isOverrun(): boolean {
        return this.overrun;
    }

    /** Makes the event the last one and returns undefined; returns why not if it can't be the next one. */
    take({ id, hasData }: EventFields): SequenceFault | undefined {
        if (id === undefined || !hasData) {
            return this.fault("event without data or without an ID that is a whole number");
        }
        if (this.lastId === undefined ? !this.firstIds.includes(id) : id !== this.lastId + 1) {
            return this.fault(`event ${id} is not the successor of event ${this.lastId ?? "none"}`);
        }
        if (Math.max(id, this.count + 1) > this.maximumEvents) {
            this.overrun = true;
            return this.fault(`event ${id} exceeds the maximum number of output tokens`);
        }
        this.lastId = id;
        this.count++;
        return undefined;
    }

    private fault(reason: string): SequenceFault {
        return { reason, restsOnCaller: this.lastId === undefined && this.start.resumedAfter !== undefined };
    }
}
