/**
 * Splits a stream of server-sent events into complete events, so that a partial event is never forwarded. Blocks without
 * data or ID, such as comments and empty lines, are no events: they are kept with the event that follows them, so that
 * bytes without events do not count as progress, and their size is limited like that of an event.
 *
 * Events are not copied or decoded one by one: of thousands in a chunk, only the fields that place them are read.
 */

import { PendingBytes } from "../../common/pending-bytes.js";
import { type EventFields, parseEventId } from "./event-sequence.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const space = 0x20;
/** Thousands of tokens; the events of the users' engines hold a few each. */
const maximumEventBytes = 65_536;
const lineContentPattern = /[^\r\n]/;

export class EventSplitter {
    private readonly pending = new PendingBytes();
    /** Offset of the unterminated line in the pending bytes. */
    private lineStart = 0;
    private block = new Block();

    /** Whether an event or another block has begun and has not been terminated. */
    get hasIncompleteEvent(): boolean {
        return this.block.hasLines
            || lineContentPattern.test(this.pending.bytes.toString("latin1", this.lineStart));
    }

    /** Whether the unterminated event, with the blocks before it, exceeds the maximum event size. */
    get exceedsMaximumSize(): boolean {
        return this.pending.length > maximumEventBytes;
    }

    /**
     * Adds a chunk, and offers the events that are now complete in order until one is not taken. Returns the bytes of those
     * taken, including the empty line that terminates each.
     */
    push(chunk: Buffer, take: (event: EventFields) => boolean): Buffer {
        const searched = this.pending.length;
        const bytes = this.pending.append(chunk);
        let takenBytes = 0;
        let lineEnd = bytes.indexOf(lineFeed, searched);
        for (; lineEnd !== -1; lineEnd = bytes.indexOf(lineFeed, this.lineStart)) {
            const isEmpty = !this.block.addLine(bytes, this.lineStart, lineEnd);
            this.lineStart = lineEnd + 1;
            if (isEmpty) {
                const { block } = this;
                this.block = block.hasLines ? new Block() : block;
                if (block.isEvent) {
                    if (!take(block)) {
                        break;
                    }
                    takenBytes = this.lineStart;
                }
            }
        }
        this.pending.removeFirst(takenBytes);
        this.lineStart -= takenBytes;
        return bytes.subarray(0, takenBytes);
    }

    /** Returns and removes the bytes after the last event. */
    takeRest(): Buffer {
        const rest = this.pending.bytes;
        this.pending.removeFirst(rest.length);
        this.lineStart = 0;
        this.block = new Block();
        return rest;
    }
}

/** What is known of the lines between two empty ones. */
class Block implements EventFields {
    hasLines = false;
    hasData = false;
    private ids = 0;
    private lastId: number | undefined;
    /** Whether a carriage return stands alone, which some receivers take for the end of a line. */
    private isAmbiguous = false;

    get isEvent(): boolean {
        return this.hasData || this.ids > 0 || this.isAmbiguous;
    }

    get id(): number | undefined {
        return this.ids === 1 && !this.isAmbiguous ? this.lastId : undefined;
    }

    /** Adds the line from `start` to the line feed at `end`; returns false if it is empty. */
    addLine(bytes: Buffer, start: number, end: number): boolean {
        const contentEnd = end > start && bytes[end - 1] === carriageReturn ? end - 1 : end;
        if (contentEnd === start) {
            return false;
        }
        this.hasLines = true;
        this.isAmbiguous ||= hasCarriageReturn(bytes, start, contentEnd);
        if (isField("data", bytes, start, contentEnd)) {
            this.hasData = true;
        }
        else if (isField("id", bytes, start, contentEnd)) {
            this.ids++;
            this.lastId = readId(bytes, start + "id".length, contentEnd);
        }
        return true;
    }
}

function hasCarriageReturn(bytes: Buffer, start: number, end: number): boolean {
    for (let index = start; index < end; index++) {
        if (bytes[index] === carriageReturn) {
            return true;
        }
    }
    return false;
}

function isField(name: string, bytes: Buffer, start: number, end: number): boolean {
    const nameEnd = start + name.length;
    if (nameEnd > end || (nameEnd < end && bytes[nameEnd] !== colon)) {
        return false;
    }
    for (let index = 0; index < name.length; index++) {
        if (bytes[start + index] !== name.charCodeAt(index)) {
            return false;
        }
    }
    return true;
}

/** Reads the value after the colon, without the one space that may precede it. */
function readId(bytes: Buffer, nameEnd: number, end: number): number | undefined {
    const start = bytes[nameEnd + 1] === space ? nameEnd + 2 : nameEnd + 1;
    return start < end ? parseEventId(bytes.toString("latin1", start, end)) : undefined;
}
