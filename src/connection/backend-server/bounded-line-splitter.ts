/** Splits a byte stream into lines of UTF-8 text, and limits the length of the line that is being received. */

const newline = 0x0a;

export class BoundedLineSplitter {
    private incompleteLine: Buffer | undefined;

    constructor(private readonly maximumLineBytes: number) {}

    /** Returns the lines that the chunk completes, or undefined if the incomplete last line exceeds the limit. */
    push(chunk: Buffer): string[] | undefined {
        const bytes = this.incompleteLine === undefined ? chunk : Buffer.concat([this.incompleteLine, chunk]);
        const end = bytes.lastIndexOf(newline);
        this.incompleteLine = end + 1 === bytes.length ? undefined : bytes.subarray(end + 1);
        if (this.incompleteLine !== undefined && this.incompleteLine.length > this.maximumLineBytes) {
            return undefined;
        }
        return end === -1 ? [] : bytes.toString("utf8", 0, end).split("\n");
    }
}
