/**
 * Writes log lines to a file descriptor without blocking the event loop. One write is in progress at a time, further
 * lines wait in a bounded buffer, and their rate is limited. Dropped lines are counted, and their count is logged.
 */
import { write } from "node:fs";
import { delay, monotonicNow } from "./clock.js";
import { TokenBucket } from "./token-bucket.js";

/** Sustained rate; about 40 lines per request at a router's share of the peak load. */
const linesPerSecond = 400;
/** Lines that may be written in one burst, such as one per backend server when the registry is first read. */
const burstLines = 2_000;
/** Limit of the buffer, in UTF-16 code units. The buffer fills up when the reader of the descriptor stops reading. */
const maximumBufferedCharacters = 1_000_000;

const flushPollMilliseconds = 5;

export type WriteFunction = (descriptor: number, text: string, done: (error: Error | null) => void) => void;

export class LineWriter {
    private readonly bucket = new TokenBucket(linesPerSecond, burstLines);
    private buffered: string[] = [];
    private bufferedCharacters = 0;
    private writing = false;
    private unreportedDrops = 0;
    private totalDropped = 0;

    constructor(private readonly descriptor: number, private readonly writeText: WriteFunction = write) {}

    /** Number of lines dropped since the writer was created. */
    get droppedLines(): number {
        return this.totalDropped;
    }

    write(line: string): void {
        if (this.bufferedCharacters + line.length > maximumBufferedCharacters || this.bucket.tryTake() > 0) {
            this.unreportedDrops++;
            this.totalDropped++;
            return;
        }
        this.buffer(line);
        this.flush();
    }

    /** Resolves when every buffered line has been written, or after the timeout. Never rejects. */
    async waitUntilWritten(timeoutMilliseconds: number): Promise<void> {
        const end = monotonicNow() + timeoutMilliseconds;
        while ((this.writing || this.buffered.length > 0) && monotonicNow() < end) {
            await delay(flushPollMilliseconds);
        }
    }

    private buffer(line: string): void {
        this.buffered.push(line);
        this.bufferedCharacters += line.length;
    }

    private flush(): void {
        if (this.writing || this.buffered.length === 0) {
            return;
        }
        if (this.unreportedDrops > 0) {
            this.buffer(
                `${
                    JSON.stringify({
                        level: "warn",
                        label: "log",
                        message: "log lines dropped: rate limit exceeded, buffer full, or write failed",
                        lines: this.unreportedDrops,
                    })
                }\n`,
            );
            this.unreportedDrops = 0;
        }
        const text = this.buffered.join("");
        this.buffered = [];
        this.bufferedCharacters = 0;
        this.writing = true;
        this.writeText(this.descriptor, text, error => {
            this.writing = false;
            if (error !== null) {
                // The reader has closed the descriptor. The failed write counts as one dropped line, whatever its
                // length; only the next entry about dropped lines can report it.
                this.unreportedDrops++;
                this.totalDropped++;
            }
            this.flush();
        });
    }
}
