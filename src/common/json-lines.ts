/** Splits a byte stream into lines, for newline-delimited JSON. */
const newline = 0x0a;

/** Buffers chunks until their lines are complete. */
export class JsonLineSplitter {
    private partialLine: Buffer = Buffer.alloc(0);

    /** Adds a chunk and returns the lines that it completes, without their newlines. Blank lines are skipped. */
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
        return lines;
    }
}
