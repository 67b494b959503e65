/** Finds the structured log lines that explain one request. */

export interface LogLine {
    /** `file:prefix`, where the prefix is the text before the JSON object, such as a router's name. */
    readonly source: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about a server are included from this time before the request's first line until this time after its last. */
const contextMilliseconds = 5_000;
/** Matches the ID in an item of `chosen`, which is `ID=FIRST-LAST` or only an ID. */
const serverIdPattern = /[\w.-]+(?==)|^[\w.-]+$/g;

/** Parses log text; lines without a JSON object are skipped. */
export function parseLogLines(text: string, file: string): LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const fields = start === -1 ? undefined : parseObject(line.slice(start));
        return fields === undefined ? [] : [{ source: `${file}:${line.slice(0, start).trim()}`, fields }];
    });
}

/** Returns the request's lines and the lines about its chosen servers from around the same time, sorted by time. */
export function collectRequestLines(lines: readonly LogLine[], requestId: string): LogLine[] {
    const requestLines = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const servers = new Set(requestLines.flatMap(({ fields }) => parseServerIds(fields["chosen"])));
    const times = requestLines.map(timeOf);
    const from = Math.min(...times) - contextMilliseconds;
    const until = Math.max(...times) + contextMilliseconds;
    const serverLines = lines.filter(line => {
        const server = line.fields["server"];
        return typeof server === "string" && servers.has(server) && timeOf(line) >= from && timeOf(line) <= until;
    });
    return [...requestLines, ...removeRepeatedLines(serverLines)].sort((left, right) => timeOf(left) - timeOf(right));
}

/** Keeps the earliest of the lines that differ only in time, since every router logs the same server event. */
function removeRepeatedLines(lines: readonly LogLine[]): LogLine[] {
    const seen = new Set<string>();
    return [...lines].sort((left, right) => timeOf(left) - timeOf(right)).filter(({ fields }) => {
        const content = JSON.stringify({ ...fields, time: undefined });
        const isNew = !seen.has(content);
        seen.add(content);
        return isNew;
    });
}

function parseServerIds(chosen: unknown): string[] {
    return typeof chosen === "string" ? chosen.split(",").flatMap(part => part.match(serverIdPattern) ?? []) : [];
}

function timeOf({ fields }: LogLine): number {
    return Date.parse(String(fields["time"]));
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        return JSON.parse(text) as Record<string, unknown>;
    }
    catch {
        // Other programs may write to the same log; their lines are skipped.
        return undefined;
    }
}
