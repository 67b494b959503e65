/** Splits a byte stream into lines of UTF-8 text, and limits the length of the line that is being received. */
import { PendingBytes } from "../../common/pending-bytes.js";

const newline = 0x0a;

export class BoundedLineSplitter {
    private readonly incompleteLine = new PendingBytes();

    constructor(private readonly maximumLineBytes: number) {}

    /** Returns the lines that the chunk completes, or undefined if the incomplete last line exceeds the limit. */
    push(chunk: Buffer): string[] | undefined {
        const searched = this.incompleteLine.length;
        const bytes = this.incompleteLine.append(chunk);
        const lastNewline = chunk.lastIndexOf(newline);
        const end = lastNewline === -1 ? -1 : searched + lastNewline;
        this.incompleteLine.removeFirst(end + 1);
        if (this.incompleteLine.length > this.maximumLineBytes) {
            return undefined;
        }
        return end === -1 ? [] : bytes.toString("utf8", 0, end).split("\n");
    }
}
