/** Splits a byte stream of newline-delimited JSON into lines of UTF-8 text. */
import { ResponseTooLargeError } from "../errors/index.js";

const newline = 0x0a;
/** Fits a read of every value of a large fleet. */
const maximumLineBytes = 64_000_000;

export class JsonLineSplitter {
    private partialLine: Buffer = Buffer.alloc(0);

    /**
     * Adds a chunk and returns the lines that it completes, without their newlines. Blank lines are skipped. Throws
     * ResponseTooLargeError if the last line is longer than any message and still incomplete.
     */
    push(chunk: Uint8Array): string[] {
        const data = this.partialLine.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.partialLine, chunk]);
        const lines: string[] = [];
        let start = 0;
        for (let end = data.indexOf(newline); end !== -1; end = data.indexOf(newline, start)) {
            const line = data.toString("utf8", start, end);
            if (line.trim() !== "") {
                lines.push(line);
            }
            start = end + 1;
        }
        this.partialLine = data.subarray(start);
        if (this.partialLine.length > maximumLineBytes) {
            throw new ResponseTooLargeError(maximumLineBytes);
        }
        return lines;
    }
}
