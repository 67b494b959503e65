/** Splits chunks of bytes into lines of text. */

const newline = 0x0a;

export class LineSplitter {
    private rest: Buffer | undefined;

    constructor(private readonly maximumLineBytes: number) {}

    /** The lines that the chunk completes; undefined if a line is over the limit. */
    push(chunk: Buffer): string[] | undefined {
        const bytes = this.rest === undefined ? chunk : Buffer.concat([this.rest, chunk]);
        const end = bytes.lastIndexOf(newline);
        this.rest = end + 1 === bytes.length ? undefined : bytes.subarray(end + 1);
        if (this.rest !== undefined && this.rest.length > this.maximumLineBytes) {
            return undefined;
        }
        return end === -1 ? [] : bytes.toString("utf8", 0, end).split("\n");
    }
}
