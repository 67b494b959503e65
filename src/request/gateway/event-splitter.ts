/**
 * Splits a stream of server-sent events into complete events, so that a partial event is never forwarded. Blocks without
 * data or ID, such as comments and empty lines, are no events: they are kept with the event that follows them, so that
 * bytes without events do not count as progress, and their size is limited like that of an event.
 */

import { PendingBytes } from "../../common/pending-bytes.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Thousands of tokens; the events of the users' engines hold a few each. */
const maximumEventBytes = 65_536;
/** A line feed and an empty line that ends with a carriage return and a line feed. */
const maximumTerminatorBytes = 3;
const blockContentPattern = /[^\r\n]/;
const eventFieldPattern = /(?:^|\n)(?:data|id)(?::|\r?\n)/;

export interface CompleteEvent {
    /** The event's bytes, including the empty line that terminates it. */
    readonly bytes: Buffer;
    /** Undefined for an event without an ID. */
    readonly id: string | undefined;
}

export class EventSplitter {
    private readonly pending = new PendingBytes();
    /** Offset of the unterminated block in the pending bytes, after blocks that are no events. */
    private blockStart = 0;

    /** Whether an event or another block has begun and has not been terminated. */
    get hasIncompleteEvent(): boolean {
        return blockContentPattern.test(this.pending.bytes.toString("latin1", this.blockStart));
    }

    /** Whether the unterminated event, with the blocks before it, exceeds the maximum event size. */
    get exceedsMaximumSize(): boolean {
        return this.pending.length > maximumEventBytes;
    }

    /** Adds a chunk and returns the events that are now complete, in order. */
    push(chunk: Buffer): CompleteEvent[] {
        // The bytes that earlier calls have searched may end with the first part of a terminator.
        let searchFrom = Math.max(this.blockStart, this.pending.length - maximumTerminatorBytes + 1);
        const bytes = this.pending.append(chunk);
        const events: CompleteEvent[] = [];
        let start = 0;
        let { blockStart } = this;
        for (let end = findBlockEnd(bytes, searchFrom); end !== -1; end = findBlockEnd(bytes, searchFrom)) {
            const block = bytes.toString("latin1", blockStart, end);
            if (eventFieldPattern.test(block)) {
                events.push({ bytes: bytes.subarray(start, end), id: readId(block) });
                start = end;
            }
            blockStart = end;
            searchFrom = end;
        }
        this.pending.removeFirst(start);
        this.blockStart = blockStart - start;
        return events;
    }

    /** Returns and removes the bytes after the last event. */
    takeRest(): Buffer {
        const rest = this.pending.bytes;
        this.pending.removeFirst(rest.length);
        this.blockStart = 0;
        return rest;
    }
}

/** Returns the offset after the empty line that terminates the block, or -1 if there is none. */
function findBlockEnd(bytes: Buffer, start: number): number {
    for (let index = bytes.indexOf(lineFeed, start); index !== -1; index = bytes.indexOf(lineFeed, index + 1)) {
        const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
        if (bytes[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

function readId(event: string): string | undefined {
    const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event);
    return match?.[1];
}
