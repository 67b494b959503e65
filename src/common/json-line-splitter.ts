/** Splits a byte stream of newline-delimited JSON into lines of UTF-8 text. */
import { Buffer } from "node:buffer";
import { ResponseTooLargeError } from "../errors/index.js";
import { PendingBytes } from "./pending-bytes.js";

const newline = 0x0a;
/** Fits a read of every value of a large fleet. */
const maximumLineBytes = 64_000_000;

export class JsonLineSplitter {
    private readonly partialLine = new PendingBytes();

    /**
     * Adds a chunk and returns the lines that it completes, without their newlines. Blank lines are skipped. Throws
     * ResponseTooLargeError if the last line is longer than any message and still incomplete.
     */
    push(chunk: Uint8Array): string[] {
        const searched = this.partialLine.length;
        const data = this.partialLine.append(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
        const lines: string[] = [];
        let start = 0;
        for (let end = data.indexOf(newline, searched); end !== -1; end = data.indexOf(newline, start)) {
            const line = data.toString("utf8", start, end);
            if (line.trim() !== "") {
                lines.push(line);
            }
            start = end + 1;
        }
        this.partialLine.removeFirst(start);
        if (this.partialLine.length > maximumLineBytes) {
            throw new ResponseTooLargeError(maximumLineBytes);
        }
        return lines;
    }
}
