/**
 * Writes log lines to a file descriptor without ever blocking the loop: one write is under way at a time, lines wait in a
 * bounded buffer, and a rate bounds their number under load. What is dropped is counted, and the count is written.
 */
import { write } from "node:fs";
import { delay, monotonicNow } from "./clock.js";
import { TokenBucket } from "./token-bucket.js";

/** Lines a second, over time: some forty for each request that a router serves at its share of the peak. */
const linesPerSecond = 400;
/** Lines at once, such as when a registry is read. */
const burstLines = 2_000;
/** Lines that wait for a reader who has stopped. */
const maximumBufferedBytes = 1_000_000;

const drainReviewMilliseconds = 5;

export type WriteFunction = (descriptor: number, text: string, done: (error: Error | null) => void) => void;

export class LineWriter {
    private readonly bucket = new TokenBucket(linesPerSecond, burstLines);
    private buffered: string[] = [];
    private bufferedBytes = 0;
    private writing = false;
    private dropped = 0;
    private droppedInAll = 0;

    constructor(private readonly descriptor: number, private readonly writeText: WriteFunction = write) {}

    /** Lines that were dropped since the start. */
    get droppedLines(): number {
        return this.droppedInAll;
    }

    write(line: string): void {
        if (this.bufferedBytes + line.length > maximumBufferedBytes || this.bucket.tryTake() > 0) {
            this.dropped++;
            this.droppedInAll++;
            return;
        }
        this.buffer(line);
        this.flush();
    }

    /** Resolves once everything has been handed to the descriptor, or the time is over. */
    async waitUntilWritten(timeoutMilliseconds: number): Promise<void> {
        const end = monotonicNow() + timeoutMilliseconds;
        while ((this.writing || this.buffered.length > 0) && monotonicNow() < end) {
            await delay(drainReviewMilliseconds);
        }
    }

    private buffer(line: string): void {
        this.buffered.push(line);
        this.bufferedBytes += line.length;
    }

    private flush(): void {
        if (this.writing || this.buffered.length === 0) {
            return;
        }
        if (this.dropped > 0) {
            this.buffer(
                `${JSON.stringify({ level: "warn", label: "log", message: "lines dropped", lines: this.dropped })}\n`,
            );
            this.dropped = 0;
        }
        const text = this.buffered.join("");
        this.buffered = [];
        this.bufferedBytes = 0;
        this.writing = true;
        this.writeText(this.descriptor, text, error => {
            this.writing = false;
            if (error !== null) {
                // Nobody reads any more; there is nowhere left to report it but the next line.
                this.dropped++;
                this.droppedInAll++;
            }
            this.flush();
        });
    }
}
