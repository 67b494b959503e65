/** Splits a byte stream into lines of JSON. */
const newline = 0x0a;

/** Collects chunks and gives out whole lines. */
export class LineSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Adds a chunk and returns the lines that it completed, without empty ones. */
    push(chunk: Uint8Array): string[] {
        const data = this.rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.rest, chunk]);
        const lines: string[] = [];
        let start = 0;
        for (let end = data.indexOf(newline); end !== -1; end = data.indexOf(newline, start)) {
            const line = data.toString("utf8", start, end);
            if (line.trim() !== "") {
                lines.push(line);
            }
            start = end + 1;
        }
        this.rest = data.subarray(start);
        return lines;
    }
}
