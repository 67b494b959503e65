/** Splits a stream of server-sent events into complete events, so that a partial event is never forwarded. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const maximumEventBytes = 1_000_000;

export interface CompleteEvent {
    /** The event's bytes, including the empty line that terminates it. */
    readonly bytes: Buffer;
    /** Undefined for an event without an ID, such as an SSE comment. */
    readonly id: string | undefined;
}

export class EventSplitter {
    private incompleteEvent: Buffer = Buffer.alloc(0);

    /** Whether the buffer contains an event that has not been terminated. */
    get hasIncompleteEvent(): boolean {
        return this.incompleteEvent.length > 0;
    }

    /** Whether the unterminated event exceeds the maximum event size. */
    get exceedsMaximumSize(): boolean {
        return this.incompleteEvent.length > maximumEventBytes;
    }

    /** Adds a chunk and returns the events that are now complete, in order. */
    push(chunk: Buffer): CompleteEvent[] {
        const bytes = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
        const events: CompleteEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: readId(event) });
            start = end;
        }
        this.incompleteEvent = bytes.subarray(start);
        return events;
    }
}

/** Returns the offset after the empty line that terminates the event, or -1 if there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
    for (let index = bytes.indexOf(lineFeed, start); index !== -1; index = bytes.indexOf(lineFeed, index + 1)) {
        const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

function readId(event: Buffer): string | undefined {
    const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString("latin1"));
    return match?.[1];
}
