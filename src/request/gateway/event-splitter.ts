/** Cuts a stream of server-sent events into whole events, so that a part of one is never passed on. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const maximumEventBytes = 1_000_000;

export interface WholeEvent {
    /** The event's bytes with the empty line that ends it. */
    readonly bytes: Buffer;
    /** Undefined for an event without an ID, such as a comment. */
    readonly id: string | undefined;
}

export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Whether bytes of an unfinished event are held. */
    get hasRest(): boolean {
        return this.rest.length > 0;
    }

    /** Whether the unfinished event is longer than any that is allowed. */
    get overflowed(): boolean {
        return this.rest.length > maximumEventBytes;
    }

    push(chunk: Buffer): WholeEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: WholeEvent[] = [];
        let start = 0;
        for (let end = endOfEvent(bytes, start); end !== -1; end = endOfEvent(bytes, start)) {
            const event = bytes.subarray(start, end);
            events.push({ bytes: event, id: readId(event) });
            start = end;
        }
        this.rest = bytes.subarray(start);
        return events;
    }
}

/** The position behind the empty line that ends the event, or -1. */
function endOfEvent(bytes: Buffer, start: number): number {
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
